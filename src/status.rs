//! The status that a controller reports to operators: team limits, other controllers and failovers. The
//! listener for controllers serves it as JSON, and the command line prints it as tables. It is read-only.
//!
//! `ochredrum schema status` prints the JSON schema, including the doc comments of the types.

use crate::serde_defaults::is_zero;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::fmt::Write;

/// HTTP path of the status on the listener for controllers.
pub const STATUS_PATH: &str = "/status/v1";
/// Content type of the status and of the requests for it.
pub const JSON_CONTENT_TYPE: &str = "application/json";

/// What one controller knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Status {
    /// The controller that answers.
    pub controller: String,
    /// Its process.
    pub incarnation: u64,
    /// Whether it leads.
    pub leads: bool,
    /// Whether it may act for its share at this moment.
    pub entitled: bool,
    /// Whether it keeps to grants of team limits.
    pub grants_on: bool,
    /// All teams of the settings.
    pub teams: Vec<TeamStatus>,
    /// Whether it acts on failures that are detected.
    #[serde(default)]
    pub detection_on: bool,
    /// The other controllers, as it judges them.
    #[serde(default)]
    pub siblings: Vec<SiblingStatus>,
    /// Attempts that appeared on machines of the controller although it had not started them: 0 unless
    /// something is wrong, or a controller of an earlier release took part.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub unexpected_attempts: u64,
    /// Times at which the controller saw more attempts of a team that it owns than the team's limit allows: 0 unless
    /// something is wrong, or the limit was lowered.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub limit_excesses: u64,
    /// Shares of controllers that have failed.
    #[serde(default)]
    pub hand_overs: Vec<HandOverStatus>,
}

/// Another controller, as the one that answers judges it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct SiblingStatus {
    /// Its name.
    pub controller: String,
    /// The judgement.
    pub stage: StageStatus,
    /// The process that answered last, if one did.
    pub incarnation: Option<u64>,
    /// Seconds since its last answer.
    pub silence_s: f64,
    /// Seconds of silence after which it is suspected.
    pub threshold_s: f64,
    /// Seconds since a message of its own arrived. Young while `silence_s` is old: one direction is cut.
    pub last_message_s: Option<f64>,
    /// Controllers that do not hear it, the one that answers among them.
    pub votes: usize,
    /// Whether its key in the state service has gone.
    pub key_gone: bool,
    /// Whether workers that left it came here lately.
    pub workers_left: bool,
    /// What others told of it.
    pub told: Vec<OpinionStatus>,
}

/// How far the failure of a controller is established.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum StageStatus {
    /// It answers.
    Alive,
    /// The controller that answers does not hear it.
    Suspected,
    /// A quorum does not hear it, or the one that answers does not and its key has gone.
    Confirmed,
    /// Confirmed, and it owns nothing any more.
    HandedOver,
}

/// What one controller told of another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct OpinionStatus {
    /// Who told it.
    pub observer: String,
    /// Whether it suspects the other.
    pub suspects: bool,
    /// Seconds for which it had not heard the other then.
    pub silence_s: f64,
    /// Seconds since it told that.
    pub age_s: f64,
}

/// The share of a process that has failed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct HandOverStatus {
    /// The controller.
    pub controller: String,
    /// Its process.
    pub incarnation: u64,
    /// Teams and machines that the map still gives to it.
    pub teams: usize,
    /// The machines.
    pub machines: usize,
    /// What the hand-over waits for.
    pub waits_for: HandOverWait,
}

/// What a hand-over waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum HandOverWait {
    /// The process's key in the state service, which goes with its lease.
    Key,
    /// The word of a majority that none of them vouches for the process.
    Consents {
        /// How many have given it.
        given: usize,
        /// How many it takes.
        needed: usize,
    },
    /// The leader, which is another controller.
    Leader,
}

/// CPUs and GPUs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Capacity {
    /// Number of CPUs.
    pub cpus: f64,
    /// Number of GPUs.
    pub gpus: f64,
}

/// One team.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct TeamStatus {
    /// Its name.
    pub team: String,
    /// What its tasks may use at most; 0 means no limit.
    pub limit: Capacity,
    /// What it is guaranteed; 0 means nothing.
    pub guarantee: Capacity,
    /// The controller that owns it, as the map says.
    pub owner: Option<String>,
    /// Since which term every owner has kept to grants, if that is known.
    pub grants_kept_since: Option<u64>,
    /// The record of grants.
    pub record: RecordState,
    /// Who may use how much of the limit.
    pub grants: Vec<GrantStatus>,
    /// Granted to former holders that are no longer named.
    pub folded: Capacity,
    /// What only the owner knows.
    pub owned: Option<OwnedTeamStatus>,
}

/// Whether there is a record of grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum RecordState {
    /// There is none.
    None,
    /// There is one, and the owner goes by it.
    ReliedOn,
    /// There is one that was begun before all owners kept to grants.
    NotReliedOn,
    /// What is stored is no valid record.
    Damaged,
}

/// What one holder may use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct GrantStatus {
    /// The controller.
    pub controller: String,
    /// Its process.
    pub incarnation: u64,
    /// The term under which it owned the team.
    pub term: u64,
    /// How much.
    pub granted: Capacity,
    /// Whether it owns the team at present; if not, what is granted is what may still run of its
    /// tasks.
    pub current: bool,
}

/// What the owner of a team knows of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct OwnedTeamStatus {
    /// What it goes by when it starts tasks.
    pub basis: BasisStatus,
    /// All that may be running of the team.
    pub used: Capacity,
    /// The part of that which former owners may have started.
    pub inherited: Capacity,
    /// Machines that have not told yet what they run of the team.
    pub unknown_machines: usize,
    /// What `used` consists of; controllers of earlier releases do not tell it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub terms: Option<UsageTermsStatus>,
}

/// What counts towards a team's limit, by the evidence for it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct UsageTermsStatus {
    /// Attempts that the owner has started, or that machines or other controllers have reported.
    pub attempts: Capacity,
    /// Tasks of unfinished jobs that machines may run which have not reported.
    pub unreconciled: Capacity,
    /// Tasks of cancelled jobs that machines may run which have not reported.
    pub cancelled: Capacity,
    /// The revision of the state service at which the owner gained the team.
    pub gained_at_revision: u64,
    /// The revision that it has read. A team with a limit starts nothing while this is below `gained_at_revision`.
    pub read_up_to: u64,
}

/// What an owner goes by when it starts tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum BasisStatus {
    /// The team has no limit, or grants are off: everything that may run counts.
    Counting,
    /// A record of grants is being begun.
    Beginning,
    /// It has not read yet whether there is a record, and starts nothing.
    Undecided,
    /// Its grant.
    Granted,
}

impl Status {
    /// Formats the tables that the command line prints: teams, then other controllers and failovers if
    /// there are any.
    pub fn to_tables(&self) -> String {
        let teams: Vec<_> = self.teams.iter().map(TeamStatus::table_row).collect();
        let mut text = format!(
            "{}\n\n{}",
            self.summary(),
            format_table(TEAM_COLUMNS, &teams)
        );
        if !self.siblings.is_empty() {
            let rows: Vec<_> = self.siblings.iter().map(SiblingStatus::table_row).collect();
            text.push('\n');
            text.push_str(&format_table(SIBLING_COLUMNS, &rows));
        }
        if !self.hand_overs.is_empty() {
            let rows: Vec<_> = self
                .hand_overs
                .iter()
                .map(HandOverStatus::table_row)
                .collect();
            text.push('\n');
            text.push_str(&format_table(HAND_OVER_COLUMNS, &rows));
        }
        text
    }

    fn summary(&self) -> String {
        let mut text = format!("{} (process {})", self.controller, self.incarnation);
        if self.leads {
            text.push_str(", leads");
        }
        if !self.entitled {
            text.push_str(", may not act now");
        }
        if !self.grants_on {
            text.push_str(", keeps to no grants");
        }
        if self.unexpected_attempts > 0 {
            write!(text, ", {} unexpected attempts", self.unexpected_attempts).ok();
        }
        if self.limit_excesses > 0 {
            write!(text, ", limits exceeded {} times", self.limit_excesses).ok();
        }
        text
    }
}

const TEAM_COLUMNS: [&str; 9] = [
    "TEAM",
    "OWNER",
    "LIMIT",
    "GUARANTEE",
    "GRANTED",
    "OTHERS",
    "USED",
    "UNKNOWN",
    "STATE",
];
const SIBLING_COLUMNS: [&str; 6] = [
    "CONTROLLER",
    "STAGE",
    "SILENT",
    "VOTES",
    "KEY",
    "OTHERS HEAR IT",
];
const HAND_OVER_COLUMNS: [&str; 4] = ["FAILED", "TEAMS", "MACHINES", "WAITS FOR"];

/// Formats a table whose columns are as wide as their widest cells.
fn format_table<const COLUMNS: usize>(
    header: [&str; COLUMNS],
    rows: &[[String; COLUMNS]],
) -> String {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        let widths = cells.map(|cell| cell.chars().count());
        let title = header.get(column).map(|title| title.len());
        widths.chain(title).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..COLUMNS).map(width).collect();
    let mut text = String::new();
    let mut write_line = |cells: &[&str]| {
        for (cell, width) in cells.iter().zip(&widths) {
            // Writing to a `String` does not fail.
            write!(text, "{cell:<width$}  ").ok();
        }
        text.truncate(text.trim_end().len());
        text.push('\n');
    };
    write_line(&header);
    for row in rows {
        write_line(&row.each_ref().map(String::as_str));
    }
    text
}

impl SiblingStatus {
    fn table_row(&self) -> [String; 6] {
        let stage = match self.stage {
            StageStatus::Alive => "alive",
            StageStatus::Suspected => "suspected",
            StageStatus::Confirmed => "confirmed failed",
            StageStatus::HandedOver => "handed over",
        };
        let key = if self.key_gone { "gone" } else { "there" };
        let opinions: Vec<String> = self.told.iter().map(OpinionStatus::to_text).collect();
        [
            self.controller.clone(),
            stage.into(),
            format!("{:.1} of {:.1} s", self.silence_s, self.threshold_s),
            self.votes.to_string(),
            key.into(),
            if opinions.is_empty() {
                "-".into()
            } else {
                opinions.join(", ")
            },
        ]
    }
}

impl OpinionStatus {
    fn to_text(&self) -> String {
        let hears = if self.suspects { "no" } else { "yes" };
        format!("{} {hears} ({:.1} s ago)", self.observer, self.age_s)
    }
}

impl HandOverStatus {
    fn table_row(&self) -> [String; 4] {
        let waits_for = match self.waits_for {
            HandOverWait::Key => "its key to go".into(),
            HandOverWait::Consents { given, needed } => format!("consents, {given} of {needed}"),
            HandOverWait::Leader => "the leader".into(),
        };
        [
            self.controller.clone(),
            self.teams.to_string(),
            self.machines.to_string(),
            waits_for,
        ]
    }
}

impl TeamStatus {
    fn table_row(&self) -> [String; 9] {
        let owned = self.owned.as_ref();
        [
            self.team.clone(),
            self.owner.clone().unwrap_or_else(|| "-".into()),
            self.limit.to_text(),
            self.guarantee.to_text(),
            self.sum_grants(true).to_text(),
            self.sum_grants(false).add(self.folded).to_text(),
            owned.map_or_else(|| "?".into(), |owned| owned.used.to_text()),
            owned.map_or_else(|| "?".into(), |owned| owned.unknown_machines.to_string()),
            self.state_text().into(),
        ]
    }

    /// The sum of the grants of the present owner if `current`, else of all former owners that are listed.
    fn sum_grants(&self, current: bool) -> Capacity {
        self.grants
            .iter()
            .filter(|grant| grant.current == current)
            .map(|grant| grant.granted)
            .fold(Capacity::default(), Capacity::add)
    }

    /// The text of the `STATE` column.
    fn state_text(&self) -> &'static str {
        match (self.record, self.owned.as_ref().map(|owned| owned.basis)) {
            (RecordState::Damaged, _) => "damaged record",
            (_, Some(BasisStatus::Undecided)) => "reading",
            (_, Some(BasisStatus::Beginning)) => "beginning",
            (RecordState::NotReliedOn, _) => "record not relied on",
            (RecordState::None, _) => "no record",
            (RecordState::ReliedOn, _) if self.grants.iter().all(|grant| grant.current) => {
                "granted"
            }
            (RecordState::ReliedOn, _) => "taking over",
        }
    }
}

impl Capacity {
    fn add(self, other: Self) -> Self {
        Self {
            cpus: self.cpus + other.cpus,
            gpus: self.gpus + other.gpus,
        }
    }

    fn to_text(self) -> String {
        match (self.cpus > 0.0, self.gpus > 0.0) {
            (false, false) => "-".into(),
            (true, false) => format!("{} CPU", self.cpus),
            (false, true) => format!("{} GPU", self.gpus),
            (true, true) => format!("{} CPU {} GPU", self.cpus, self.gpus),
        }
    }
}

#[cfg(test)]
mod tests;
