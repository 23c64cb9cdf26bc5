//! Tests that a fleet of separate processes serves requests and applies a new configuration.

mod support;

use ids::ConfigVersion;
use schema::caller::DirectoryAnswer;
use support::{Fleet, config_text, get, post};

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_served_end_to_end() {
    let mut fleet = Fleet::start(3, 4, 1).await;
    fleet.add_servers(2).await;

    let page = get(fleet.entries[3].caller_address, "/directory", &[]).await.unwrap();
    let directory: DirectoryAnswer = serde_json::from_slice(&page.body).unwrap();
    let address = directory.addresses[0].address;
    let read = get(address, "/queue/17", &[]).await.unwrap();
    let key = format!("{}first", directory.ticket);
    let deposited = post(address, "/deposit/17", &key, "ten").await.unwrap();
    let other_address = directory.addresses[1].address;
    let resent = post(other_address, "/deposit/17", &key, "ten").await.unwrap();

    let data_centres: std::collections::BTreeSet<_> =
        directory.addresses.iter().map(|it| it.data_centre.clone()).collect();
    assert!(directory.addresses.len() >= 3);
    assert!(data_centres.len() >= 2);
    assert_eq!(read.header("daisypaddle-outcome"), "ran");
    assert!(read.text().contains("GET /queue/17"), "{}", read.text());
    assert!(deposited.text().ends_with("POST /deposit/17 ten"), "{}", deposited.text());
    assert_eq!(resent.text(), deposited.text());
    assert_eq!(resent.header("daisypaddle-replayed"), "true");
    let runs: u64 =
        fleet.servers.iter().filter_map(|it| it.runs().by_key().get(&key).copied()).sum();
    assert_eq!(runs, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_version_reaches_all_entry_hosts() {
    let fleet = Fleet::start(3, 4, 1).await;

    fleet.submit(&config_text(2, 2)).await;

    fleet.wait_for_version(ConfigVersion(2)).await;
}
