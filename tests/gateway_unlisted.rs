//! A gateway that doesn't list another one yet, which has just started, takes what that one passes on for
//! a caller's request.

mod gateway;

use std::{
    io::{Read, Write},
    net::TcpListener,
    thread,
};

use gateway::{Cut, Fleet, Server, wait_for};
use hyper::HeaderMap;
use platform::stand_in;
use schema::announcement::ServerState;

/// Serves requests as a gateway does that takes their sender for a caller.
fn serve_as_callers(listener: TcpListener) {
    for mut stream in listener.incoming().flatten() {
        let mut head = Vec::new();
        let mut buf = [0; 4_096];
        while !head.windows(4).any(|it| it == b"\r\n\r\n") {
            match stream.read(&mut buf) {
                Ok(received) if received > 0 => head.extend_from_slice(&buf[..received]),
                _ => break,
            }
        }
        let head = String::from_utf8_lossy(&head).to_lowercase();
        let name = "attempt-id: ";
        let Some(begin) = head.find(name) else { continue };
        let id = head[begin + name.len()..].lines().next().unwrap_or_default();
        let mut headers = HeaderMap::new();
        stand_in::sign_response(&mut headers, id);
        let mut response = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n".to_owned();
        for (name, value) in &headers {
            response += &format!("{name}: {}\r\n", value.to_str().unwrap());
        }
        let _ = stream.write_all(format!("{response}\r\nother").as_bytes());
    }
}

#[test]
fn the_answer_of_a_gateway_that_takes_the_sender_for_a_caller_is_not_lost() {
    let servers = [1, 2, 3, 4].map(|it| Server::start(it, "queue"));
    let mut fleet = Fleet::start();
    fleet.put_config(1, "queue");
    servers.iter().for_each(|it| fleet.announce(it, 1, ServerState::Serving));
    fleet.wait_until_ready();
    fleet.wait_until_used(11, &servers);
    wait_for("both gateways", || (fleet.directory(11).len() == 2).then_some(()));
    // Gateway 11 goes on listing gateway 12.
    (1..=3).for_each(|it| fleet.kill(it));
    fleet.kill(12);
    let listener = TcpListener::bind(fleet.address(12, fleet.ports.callers)).unwrap();
    thread::spawn(move || serve_as_callers(listener));
    let gateway = fleet.ip(11);
    for server in &servers {
        server.cuts.lock().unwrap().insert(gateway, Cut::Reset);
    }

    let mut number = 0;
    wait_for("an answer of the other gateway", || {
        number += 1;
        let response = fleet.request(11, &format!("pay-{number}"), &format!("/pay/{number}"))?;
        (response.status == 200 && response.body == b"other").then_some(())
    });
}
