//! Tests the reactions of a single host to messages from other hosts.

mod fleet;

use dissemination::{
    Dissemination, DisseminationAction, DisseminationMessage, DisseminationSettings, View,
};
use ids::{Blob, ConfigVersion, ContentDigest, Epoch, HostId, Timestamp};
use schema::{
    announcement::ServerState,
    dissemination::{
        ClaimMapStamp, ConfigDelta, ConfigStamp, Fragment, FragmentContent, FragmentKey, Freshness,
        ServerRecord, Summary,
    },
};

use crate::fleet::{announcement, config_text};

const LINKS: [HostId; 3] = [HostId(1), HostId(2), HostId(3)];

fn now(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1_000)
}

/// Returns a host with three links and version 1 in force.
fn host_at_version_one() -> Dissemination {
    let mut host = Dissemination::new(DisseminationSettings::new(HostId(0), 1));
    let view = View { links: LINKS.to_vec(), ..View::default() };
    host.set_view(now(1), view);
    host.publish_config(now(1), ConfigVersion(1), ContentDigest::default(), &config_text(1, 3, 1));
    host.tick(now(1));
    host
}

fn summary(version: u64) -> DisseminationMessage {
    let digest = ContentDigest::of(&[version as u8]);
    DisseminationMessage::Summary(Summary {
        config: ConfigStamp {
            version: ConfigVersion(version),
            text_digest: digest,
            manifest_digest: digest,
        },
        claim_map: ClaimMapStamp { epoch: Epoch(0), digest: ContentDigest::default() },
        servers_digest: 0,
        current: false,
        wants_answer: false,
    })
}

#[test]
fn a_host_is_not_ready_while_a_newer_version_is_known() {
    let mut host = host_at_version_one();
    for (link, version) in LINKS.into_iter().zip([1, 1, 2]) {
        host.handle(now(1), link, summary(version));
    }

    host.tick(now(20));

    assert!(!host.is_ready());
}

#[test]
fn an_answer_of_a_lost_host_does_not_delay_readiness() {
    let mut host = host_at_version_one();
    for (link, version) in LINKS.into_iter().zip([1, 1, 2]) {
        host.handle(now(1), link, summary(version));
    }
    let view = View { links: LINKS[..2].to_vec(), ..View::default() };
    host.set_view(now(2), view);

    host.tick(now(5));

    assert!(host.is_ready());
}

#[test]
fn a_host_without_answers_is_not_ready() {
    let mut host = host_at_version_one();

    host.tick(now(60));

    assert!(!host.is_ready());
}

#[test]
fn a_delta_that_does_not_match_the_offer_is_rejected() {
    let mut host = host_at_version_one();
    let digest = ContentDigest::of(b"other");
    let stamp =
        ConfigStamp { version: ConfigVersion(2), text_digest: digest, manifest_digest: digest };
    let offer = DisseminationMessage::ConfigOffer(stamp.clone());
    let actions = host.handle(now(2), LINKS[0], offer);
    let base = requested_base(&actions);
    for content in [schema::encode(&FragmentContent::Routes(Vec::new())), vec![255; 9]] {
        let content = Blob::from(content);
        let delta = ConfigDelta {
            stamp: stamp.clone(),
            base,
            changed: vec![Fragment { key: FragmentKey::Routes(0), content }],
            removed: Vec::new(),
        };

        host.handle(now(2), LINKS[0], DisseminationMessage::ConfigDelta(delta));

        assert_eq!(host.version(), ConfigVersion(1));
    }
}

fn requested_base(actions: &[DisseminationAction]) -> ContentDigest {
    let request = actions.iter().find_map(|it| match it {
        DisseminationAction::Send { message: DisseminationMessage::ConfigRequest(it), .. } => {
            Some(it)
        }
        _ => None,
    });
    request.expect("the host requests the offered configuration").held
}

#[test]
fn a_stale_mark_on_an_older_announcement_is_ignored() {
    let mut host = host_at_version_one();
    host.announce(now(2), announcement("server-1", 5, ServerState::Draining));
    let record = ServerRecord {
        announcement: announcement("server-1", 3, ServerState::Serving),
        freshness: Freshness::Stale,
        freshness_sequence: 9,
    };

    host.handle(now(3), LINKS[0], DisseminationMessage::Servers(vec![record]));

    let states = host.servers().map(|it| it.state).collect::<Vec<_>>();
    assert_eq!(states, [ServerState::Draining]);
}
