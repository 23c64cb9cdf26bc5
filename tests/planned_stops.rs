//! Tests what operators and other hosts see of planned stops of control hosts and entry hosts.

mod support;

use std::time::Duration;

use daisypaddle::operator::OperatorClient;
use ids::HostId;
use schema::{
    fleet_status::FleetStatus,
    membership::MemberState,
    operator::{OperatorRequest, Submit},
};
use support::{Fleet, OPERATOR_TOKEN, config_text, get, wait_for};
use tokio::{task::JoinSet, time::sleep};

/// Time for requests to reach the leader.
const REQUESTS_ARRIVE_WITHIN: Duration = Duration::from_millis(200);

/// Time after the signal until the other control hosts can answer again.
const MAJORITY_RETURNS_AFTER: Duration = Duration::from_millis(400);

/// Returns the state of a host as a control host knows it.
async fn state_of(fleet: &Fleet, control: usize, host: HostId) -> Option<MemberState> {
    let response = get(fleet.control[control].admin_address, "/v1/fleet", &[]).await.ok()?;
    let status: FleetStatus = serde_json::from_slice(&response.body).ok()?;
    status.hosts.into_iter().find(|it| it.host == host).map(|it| it.state)
}

/// Waits until a control host no longer takes a host for a live one.
async fn state_after_stop(fleet: &Fleet, control: usize, host: HostId) -> MemberState {
    wait_for("the end of a host", async || {
        let state = state_of(fleet, control, host).await;
        state.filter(|it| matches!(it, MemberState::Stopped | MemberState::Dead))
    })
    .await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_stops_as_planned_is_not_taken_for_dead() {
    let mut fleet = Fleet::start(3, 2, 1).await;
    let (control, entry) = (fleet.control[2].id, fleet.entries[1].id);

    let codes = [fleet.control[2].process.stop().await, fleet.entries[1].process.stop().await];
    let states =
        [state_after_stop(&fleet, 0, control).await, state_after_stop(&fleet, 0, entry).await];

    assert_eq!(codes, [Some(0); 2]);
    assert_eq!(states, [MemberState::Stopped; 2]);
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_whose_requests_wait_for_a_majority_at_a_planned_stop_get_an_answer() {
    let fleet = Fleet::start(3, 1, 1).await;
    let leader = fleet.leader().await;
    let address = fleet.control[leader].admin_address;
    let others: Vec<usize> = (0..3).filter(|it| *it != leader).collect();
    others.iter().for_each(|it| fleet.control[*it].process.signal("STOP"));
    let mut requests = JoinSet::new();
    for i in 0..20 {
        requests.spawn(async move {
            let client = OperatorClient::new(vec![address], OPERATOR_TOKEN.to_owned());
            let request = match i % 2 {
                0 => OperatorRequest::Submit(Submit { text: config_text(2, 1) }),
                _ => OperatorRequest::Current,
            };
            client.request_at(address, &request).await
        });
    }
    sleep(REQUESTS_ARRIVE_WITHIN).await;

    fleet.control[leader].process.signal("TERM");
    sleep(MAJORITY_RETURNS_AFTER).await;
    others.iter().for_each(|it| fleet.control[*it].process.signal("CONT"));

    let responses = requests.join_all().await;
    let failed: Vec<_> = responses.iter().filter(|it| it.is_err()).collect();
    assert!(failed.is_empty(), "{failed:?}");
}
