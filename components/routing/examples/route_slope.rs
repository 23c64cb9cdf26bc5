//! Benchmarks route lookups with 59, 590 and 5,900 routes.

#![allow(clippy::print_stdout, clippy::disallowed_methods)]

use std::{hint::black_box, time::Instant};

use routing::RouteTable;
use schema::config_text::Route;

const LOOKUPS: usize = 2_000_000;
const HOSTS: usize = 20;

fn route(number: usize) -> Route {
    Route {
        host: if number.is_multiple_of(2) {
            "*".to_string()
        } else {
            format!("host-{}.example", number % HOSTS)
        },
        path: format!("/area-{}/service-{}/v{}", number % 7, number / 7, number % 3),
        service: format!("service-{}", number % 830).parse().expect("valid name"),
    }
}

fn main() {
    println!("| routes | ns a look-up | found |");
    println!("|---|---|---|");
    for count in [59, 590, 5_900] {
        let routes: Vec<Route> = (0..count).map(route).collect();
        let table = RouteTable::build(&routes);
        let requests: Vec<(String, String)> = routes
            .iter()
            .map(|route| (route.host.replace('*', "any.example"), format!("{}/item/7", route.path)))
            .collect();
        let started = Instant::now();
        let mut found = 0_usize;
        for i in 0..LOOKUPS {
            let (host, path) = &requests[(i * 7_919) % requests.len()];
            found += usize::from(table.lookup(black_box(host), black_box(path)).is_some());
        }
        let nanos = started.elapsed().as_nanos() / LOOKUPS as u128;
        println!("| {count} | {nanos} | {}% |", found * 100 / LOOKUPS);
    }
}
