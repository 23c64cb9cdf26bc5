//! Tests that the default settings fit together.

use routing::Directory;

const ENTRY_SETTINGS: &str = "
host: 101
region: north
data_centre: north-1
caller_address: 127.0.0.1:8080
peer_address: 127.0.0.1:7000
admin_address: 127.0.0.1:9000
fleet_key_file: fleet.key
control_hosts:
  - { host: 1, region: north, data_centre: north-1, peer_address: \"127.0.0.1:7001\" }
seeds: []
";

#[test]
fn a_planned_stop_serves_longer_than_callers_cache_an_address() {
    let settings = config::parse_entry_settings(ENTRY_SETTINGS).unwrap();

    assert!(settings.drain_ms > Directory::max_ttl(), "{}", settings.drain_ms);
}
