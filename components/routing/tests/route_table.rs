//! Look-ups find the same route as a scan of all routes.

use ids::ServiceName;
use routing::RouteTable;
use schema::config_text::Route;

const CASES: u64 = 300;
const CASE_BYTES: u64 = 512;

const HOSTS: [&str; 4] = ["*", "a.example", "b.example", "other.example"];
const SEGMENTS: [&str; 4] = ["queue", "deposit", "q", ""];

fn service(name: &str) -> ServiceName {
    name.parse().unwrap()
}

fn route(host: &str, path: &str, name: &str) -> Route {
    Route { host: host.to_string(), path: path.to_string(), service: service(name) }
}

fn table() -> RouteTable<ServiceName> {
    RouteTable::build(&[
        route("*", "/", "fallback"),
        route("*", "/queue", "queue"),
        route("*", "/queue/walk-in/", "walk-in"),
        route("Shop.example", "/", "shop"),
    ])
}

fn found(host: &str, path: &str) -> Option<String> {
    table().lookup(host, path).map(ToString::to_string)
}

#[test]
fn the_longest_prefix_of_whole_segments_wins() {
    assert_eq!(found("x", "/queue").as_deref(), Some("queue"));
    assert_eq!(found("x", "/queue/12").as_deref(), Some("queue"));
    assert_eq!(found("x", "/queue/walk-in").as_deref(), Some("walk-in"));
    assert_eq!(found("x", "/queue/walk-in/7?day=2").as_deref(), Some("walk-in"));
    assert_eq!(found("x", "/queues").as_deref(), Some("fallback"));
}

#[test]
fn hosts_are_compared_without_case_port_and_final_dot() {
    assert_eq!(found("shop.example", "/queue").as_deref(), Some("shop"));
    assert_eq!(found("SHOP.example:8080", "/queue").as_deref(), Some("shop"));
    assert_eq!(found("shop.example.", "/queue").as_deref(), Some("shop"));
    assert_eq!(found("[::1]:80", "/queue").as_deref(), Some("queue"));
}

#[test]
fn dot_segments_and_relative_paths_match_nothing() {
    for path in
        ["/queue/../deposit", "/./queue", "/queue/%2e%2E", "/queue/.%2e/x", "queue", "", "*"]
    {
        assert_eq!(found("x", path), None, "{path}");
    }
    assert_eq!(found("x", "/queue/.hidden").as_deref(), Some("queue"));
    assert_eq!(found("x", "/queue/%2e%2e%2e").as_deref(), Some("queue"));
}

#[test]
fn percent_encoding_is_not_decoded() {
    assert_eq!(found("x", "/%71ueue").as_deref(), Some("fallback"));
    assert_eq!(found("x", "/queue%2fwalk-in").as_deref(), Some("fallback"));
}

/// Returns the service of the first of the longest matching routes.
///
/// Routes that name the host take precedence.
fn find_by_scan<'a>(routes: &'a [Route], host: &str, path: &str) -> Option<&'a ServiceName> {
    let covers = |route: &&Route| {
        let prefix = route.path.trim_end_matches('/');
        path == prefix || path.starts_with(&format!("{prefix}/"))
    };
    let longest = |wanted: &str| {
        let mut best: Option<&Route> = None;
        for route in routes.iter().filter(|route| route.host == wanted).filter(covers) {
            let len = |route: &Route| route.path.trim_end_matches('/').len();
            if best.is_none_or(|best| len(best) < len(route)) {
                best = Some(route);
            }
        }
        best.map(|route| &route.service)
    };
    longest(host).or_else(|| longest("*"))
}

fn random_path(u: &mut arbtest::arbitrary::Unstructured<'_>) -> arbtest::arbitrary::Result<String> {
    let mut path = String::new();
    for _ in 0..u.int_in_range(0..=4)? {
        path.push('/');
        path.push_str(u.choose(&SEGMENTS)?);
    }
    if path.is_empty() {
        path.push('/');
    }
    Ok(path)
}

#[test]
fn lookup_equals_a_scan() {
    for case in 0..CASES {
        let seed = ((case + 1) << 32) | CASE_BYTES;
        arbtest::arbtest(|u| {
            let mut routes = Vec::new();
            for i in 0..u.int_in_range(0..=12)? {
                let host = *u.choose(&HOSTS[..3])?;
                routes.push(route(host, &random_path(u)?, &format!("service-{i}")));
            }
            let table = RouteTable::build(&routes);
            while u.len() > 16 {
                let host = *u.choose(&HOSTS[1..])?;
                let path = random_path(u)?;
                assert_eq!(
                    table.lookup(host, &path),
                    find_by_scan(&routes, host, &path),
                    "{host} {path}"
                );
            }
            Ok(())
        })
        .seed(seed)
        .run();
    }
}
