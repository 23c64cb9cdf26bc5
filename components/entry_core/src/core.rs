//! Combines the components that decide for an entry host.

use std::{collections::BTreeMap, sync::Arc};

use claims::{Claims, ClaimsSettings};
use config::Config;
use fleet_core::{FleetCore, FleetSettings};
use health::{Health, Settings as HealthSettings};
use ids::{FastMap, RequestId, ServerId, ServiceName, Timestamp, WallTime};
use limits::{
    Dependencies,
    admission::{Admission, AdmissionSettings},
    organisations::OrganisationLimits,
    quarantine::Quarantine,
    retry::{HedgePolicy, RetryBudget, RetryBudgetSettings},
};
use membership::{MemberRole, MemberState, MembershipSettings, Timing};
use routing::{Directory, RouteTable, ServerChooser};
use schema::{
    announcement::Announcement,
    config_text::{OrganisationLimit, Service},
};

use crate::{
    EntryCoreSettings, LostConnections,
    claim_reports::LastReport,
    event::{EntryAction, EntryEvent},
    request::RequestTable,
    status::Counters,
};

/// Organisation limit until a configuration is in force.
const INITIAL_ORGANISATION_LIMIT: OrganisationLimit =
    OrganisationLimit { requests_per_second: ids::RequestRate(1), burst: 1 };

/// State machine of an entry host.
pub struct EntryCore {
    pub(crate) settings: EntryCoreSettings,
    pub(crate) fleet: FleetCore,
    pub(crate) claims: Claims,
    pub(crate) health: Health,
    pub(crate) chooser: ServerChooser,
    pub(crate) admission: Admission,
    pub(crate) organisations: OrganisationLimits,
    pub(crate) quarantine: Quarantine,
    pub(crate) lost_connections: LostConnections,
    pub(crate) dependencies: Dependencies,
    pub(crate) directory: Directory,
    pub(crate) routes: RouteTable<ServiceName>,
    pub(crate) config: Option<Arc<Config>>,
    pub(crate) services: FastMap<ServiceName, ServiceState>,
    pub(crate) servers: BTreeMap<ServerId, Announcement>,
    pub(crate) requests: RequestTable,
    pub(crate) counters: Counters,
    pub(crate) drain_until: Option<Timestamp>,
    pub(crate) closed_to_callers: bool,
    pub(crate) last_report: LastReport,
    pub(crate) actions: Vec<EntryAction>,
}

/// State of one service.
pub(crate) struct ServiceState {
    pub(crate) service: Arc<Service>,
    pub(crate) budget: RetryBudget,
    pub(crate) hedge: HedgePolicy,
    /// Capacity that was last passed to admission and dependency tracking.
    pub(crate) capacity: Option<Capacity>,
}

/// Total capacity of a service's servers in rotation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Capacity {
    pub(crate) slots: u32,
    /// Whether at least one of them has a positive weight and is not a last resort.
    pub(crate) can_serve: bool,
}

impl ServiceState {
    pub(crate) fn new(now: Timestamp, service: Arc<Service>) -> Self {
        let budget = RetryBudget::new(now, RetryBudgetSettings::default());
        Self { service, budget, hedge: HedgePolicy::default(), capacity: None }
    }
}

impl EntryCore {
    /// Creates an entry host that knows only the hosts in its settings.
    pub fn new(settings: EntryCoreSettings, now: Timestamp) -> Self {
        let seed = settings.seed ^ (u64::from(settings.host.0) << 32);
        let health = Health::new(HealthSettings {
            host: settings.host,
            data_centre: settings.data_centre.clone(),
            incarnation: settings.incarnation,
            seed,
        });
        let claims_settings = ClaimsSettings { seed, ..ClaimsSettings::default() };
        Self {
            fleet: FleetCore::new(fleet_settings(&settings, seed), now),
            claims: Claims::new(settings.host, settings.incarnation, claims_settings),
            health,
            chooser: ServerChooser::new(seed),
            admission: Admission::new(AdmissionSettings::default()),
            organisations: OrganisationLimits::new(settings.host, INITIAL_ORGANISATION_LIMIT),
            quarantine: Quarantine::new(now, settings.host, settings.incarnation),
            lost_connections: LostConnections::default(),
            dependencies: Dependencies::default(),
            directory: Directory::new(seed),
            routes: RouteTable::build(&[]),
            config: None,
            services: FastMap::default(),
            servers: BTreeMap::new(),
            requests: RequestTable::default(),
            counters: Counters::default(),
            drain_until: None,
            closed_to_callers: false,
            last_report: LastReport::default(),
            actions: Vec::new(),
            settings,
        }
    }

    /// Handles an event and returns the actions to execute.
    pub fn handle(
        &mut self,
        now: Timestamp,
        wall: WallTime,
        event: EntryEvent,
    ) -> Vec<EntryAction> {
        match event {
            EntryEvent::Tick => self.tick(now, wall),
            EntryEvent::Peer { from, incarnation, message } => {
                self.on_peer_message(now, wall, from, incarnation, message);
            }
            EntryEvent::Request { request, head } => self.on_request(now, wall, request, head),
            EntryEvent::CallerGone { request } => self.on_caller_gone(now, wall, request),
            EntryEvent::AttemptEnded(ended) => self.on_attempt_ended(now, wall, ended),
            EntryEvent::ProbeEnded { server, outcome, started } => {
                self.on_probe_ended(now, &server, outcome, started);
            }
            EntryEvent::Announced(announcement) => {
                let actions = self.fleet.announce(now, announcement);
                self.handle_fleet_actions(now, wall, actions);
            }
            EntryEvent::Drain => self.on_drain(now, wall),
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns when an [`EntryEvent::Tick`] is due in addition to the regular ones.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let wakeups = [self.requests.next_wakeup(), self.claims.next_wakeup()];
        wakeups.into_iter().flatten().min()
    }

    /// Returns the lifecycle state of this host.
    pub fn mode(&self) -> MemberState {
        self.fleet.membership().own_record().state
    }

    fn tick(&mut self, now: Timestamp, wall: WallTime) {
        let in_flight = u32::try_from(self.requests.len()).unwrap_or(u32::MAX);
        self.fleet.set_in_flight(in_flight);
        let actions = self.fleet.tick(now);
        self.handle_fleet_actions(now, wall, actions);
        let actions = self.claims.tick(now, wall);
        self.handle_claim_actions(now, wall, actions);
        let actions = self.health.tick(now);
        self.handle_health_actions(actions);
        let actions = self.organisations.tick(now);
        self.handle_limit_actions(actions);
        let actions = self.quarantine.tick(now);
        self.handle_quarantine_actions(now, wall, actions);
        self.chooser.tick(now);
        self.update_capacity(now, wall);
        let actions = self.admission.tick(now);
        self.handle_admission_actions(now, wall, actions);
        self.run_due_timers(now, wall);
        self.report_claims(now);
        self.advance_lifecycle(now, wall);
    }

    fn run_due_timers(&mut self, now: Timestamp, wall: WallTime) {
        for request in self.requests.due(now) {
            self.run_request_timers(now, wall, request);
        }
    }

    /// Returns the number of requests that have not been answered yet.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether a request has not been answered yet.
    pub fn has_request(&self, request: RequestId) -> bool {
        self.requests.get(request).is_some()
    }
}

fn fleet_settings(settings: &EntryCoreSettings, seed: u64) -> FleetSettings {
    let membership = MembershipSettings {
        host: settings.host,
        role: MemberRole::Entry(settings.caller_address),
        region: settings.region.clone(),
        data_centre: settings.data_centre.clone(),
        incarnation: settings.incarnation,
        peer_address: settings.peer_address,
        admin_address: settings.admin_address,
        seed,
        timing: Timing::default(),
    };
    FleetSettings { membership, peers: settings.peers.clone() }
}
