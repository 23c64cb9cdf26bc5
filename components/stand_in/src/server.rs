//! The server itself.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
};

use http_body_util::BodyExt;
use hyper::{
    Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::TokioIo;
use ids::{DataCentreName, Incarnation, Millis, ServerId, ServiceName};
use schema::announcement::{Announcement, ServerState};
use tokio::{
    net::TcpListener,
    sync::{Semaphore, watch},
    task::JoinHandle,
};

use crate::{
    announcer::Announcer,
    behaviour::{Behaviour, Runs, Script},
    body::{BrokenOff, ScriptedBody},
};

/// Requests that wait for a slot before further ones are shed, for each slot.
const QUEUE_PER_SLOT: u32 = 4;

/// What a stand-in server is.
#[derive(Debug, Clone)]
pub struct StandInSettings {
    /// Its id.
    pub server: ServerId,
    /// The service that it provides.
    pub service: ServiceName,
    /// Where it is.
    pub data_centre: DataCentreName,
    /// Counts its starts.
    pub incarnation: Incarnation,
    /// The address to bind.
    pub address: SocketAddr,
    /// The address that it announces, if another one than it binds.
    pub announced_address: Option<SocketAddr>,
    /// Entry hosts that it announces itself to.
    pub entry_hosts: Vec<SocketAddr>,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Time that one request takes.
    pub service_time: Millis,
    /// How long an announcement holds.
    pub lifetime: Millis,
    /// A path that crashes the server when it is asked for.
    pub crash_path: Option<String>,
}

/// A stand-in server that runs in this process.
pub struct StandIn {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<State>,
    announcer: Arc<Announcer>,
    tasks: [JoinHandle<()>; 2],
}

struct State {
    settings: StandInSettings,
    script: Script,
    runs: Runs,
    slots: Semaphore,
    waiting: AtomicU32,
    /// Set once the server has ended; breaks all connections.
    ended: watch::Sender<bool>,
}

impl StandIn {
    /// Its id.
    pub fn name(&self) -> &ServerId {
        &self.state.settings.server
    }

    /// What it has run.
    pub fn runs(&self) -> &Runs {
        &self.state.runs
    }

    /// Changes how it answers.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.state.script.set_behaviour(behaviour);
    }

    /// Changes how long one request takes.
    pub fn set_service_time(&self, time: Millis) {
        self.state.script.set_service_time(time);
    }

    /// Announces that it is leaving; says whether an entry host took it.
    pub async fn drain(&self) -> bool {
        self.announcer.set_state(ServerState::Draining).await
    }

    /// Ends at once, like a killed process; open connections break.
    pub fn kill(&self) {
        self.state.ended.send_replace(true);
        self.tasks.iter().for_each(JoinHandle::abort);
    }

    /// Whether it has ended, killed or crashed by a request.
    pub fn has_ended(&self) -> bool {
        *self.state.ended.borrow()
    }
}

/// Starts a server.
pub async fn start(settings: StandInSettings) -> io::Result<StandIn> {
    let listener = TcpListener::bind(settings.address).await?;
    let address = listener.local_addr()?;
    let announcement = Announcement {
        server: settings.server.clone(),
        service: settings.service.clone(),
        data_centre: settings.data_centre.clone(),
        address: settings.announced_address.unwrap_or(address),
        incarnation: settings.incarnation,
        sequence: 0,
        state: ServerState::Serving,
        slots: settings.slots,
        lifetime_ms: settings.lifetime,
    };
    let announcer = Arc::new(Announcer::new(announcement, settings.entry_hosts.clone()));
    let state = Arc::new(State {
        script: Script::new(settings.service_time),
        runs: Runs::default(),
        slots: Semaphore::new(settings.slots as usize),
        waiting: AtomicU32::new(0),
        ended: watch::Sender::new(false),
        settings,
    });
    let tasks =
        [tokio::spawn(accept_all(listener, state.clone())), tokio::spawn(announcer.clone().run())];
    Ok(StandIn { address, state, announcer, tasks })
}

async fn accept_all(listener: TcpListener, state: Arc<State>) {
    let mut ended = state.ended.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = ended.wait_for(|it| *it) => return,
        };
        let Ok((stream, _)) = accepted else { continue };
        // Without it small answers would wait for the client's acknowledgement.
        let _ = stream.set_nodelay(true);
        let state = state.clone();
        let mut ended = state.ended.subscribe();
        tokio::spawn(async move {
            let handler = service_fn(move |req| answer(state.clone(), req));
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), handler);
            // A broken connection is what some behaviours are for.
            tokio::select! {
                _ = connection => {}
                _ = ended.wait_for(|it| *it) => {}
            }
        });
    }
}

async fn answer(
    state: Arc<State>,
    req: Request<Incoming>,
) -> Result<Response<ScriptedBody>, BrokenOff> {
    if state.settings.crash_path.as_deref() == Some(req.uri().path()) {
        state.ended.send_replace(true);
        return Err(BrokenOff);
    }
    let behaviour = state.script.behaviour();
    if behaviour == Behaviour::Shedding {
        return Ok(shed());
    }
    let limit = state.settings.slots * (QUEUE_PER_SLOT + 1);
    if state.waiting.fetch_add(1, Ordering::SeqCst) >= limit {
        state.waiting.fetch_sub(1, Ordering::SeqCst);
        return Ok(shed());
    }
    let waiting = Waiting(&state.waiting);
    let result = run(&state, req, behaviour).await;
    drop(waiting);
    result
}

/// Counts a request as waiting or in work until it is dropped.
struct Waiting<'a>(&'a AtomicU32);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

async fn run(
    state: &State,
    req: Request<Incoming>,
    behaviour: Behaviour,
) -> Result<Response<ScriptedBody>, BrokenOff> {
    let (head, body) = req.into_parts();
    let Ok(body) = body.collect().await else { return Err(BrokenOff) };
    let body = body.to_bytes();
    let is_probe = head.headers.contains_key("daisypaddle-probe");
    let tag = head.headers.get("daisypaddle-request").cloned();
    let Ok(_slot) = state.slots.acquire().await else { return Err(BrokenOff) };
    let key = head.headers.get("idempotency-key").and_then(|it| it.to_str().ok());
    match is_probe {
        true => state.runs.count_probe(),
        false => state.runs.count(key),
    }
    tokio::time::sleep(state.script.service_time()).await;
    let text = format!("{} {} {} ", state.settings.server, head.method, head.uri.path());
    let mut whole = text.into_bytes();
    whole.extend_from_slice(&body);
    let mut response = match behaviour {
        Behaviour::Well => Response::new(ScriptedBody::whole(whole)),
        Behaviour::Failing => with_status(StatusCode::INTERNAL_SERVER_ERROR, "failed\n"),
        Behaviour::Frozen => std::future::pending().await,
        Behaviour::Truncating => Response::new(ScriptedBody::cut_off(whole)),
        Behaviour::Wrong => with_status(StatusCode::OK, "somebody else's answer\n"),
        Behaviour::Shedding => shed(),
        Behaviour::ResettingRequests if is_probe => Response::new(ScriptedBody::whole(whole)),
        Behaviour::Resetting | Behaviour::ResettingRequests => return Err(BrokenOff),
    };
    let headers = response.headers_mut();
    headers.insert("daisypaddle-load", state.waiting.load(Ordering::SeqCst).into());
    match (behaviour, tag) {
        (Behaviour::Wrong, _) => {
            headers.insert("daisypaddle-request", "another".parse().expect("valid"));
        }
        (_, Some(tag)) => {
            headers.insert("daisypaddle-request", tag);
        }
        (_, None) => {}
    }
    Ok(response)
}

fn shed() -> Response<ScriptedBody> {
    let mut response = with_status(StatusCode::SERVICE_UNAVAILABLE, "busy\n");
    let headers = response.headers_mut();
    headers.insert("daisypaddle-shed", 1.into());
    headers.insert("retry-after", 1.into());
    response
}

fn with_status(status: StatusCode, text: &str) -> Response<ScriptedBody> {
    let mut response = Response::new(ScriptedBody::whole(text.as_bytes().to_vec()));
    *response.status_mut() = status;
    response
}
