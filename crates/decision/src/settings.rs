//! Parser of settings that are given as a map from path to value, which the simulator's protocol
//! and the configuration file have in common.

use crate::interface::{
    CacheStatusReporting, DeduplicationScope, Discovery, Idempotency, ListedWeights, RequestClass, Settings,
    SiblingCaches,
};
use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::Duration;

// Words of the settings, with their meanings.
const SIBLING_CACHES: [(&str, SiblingCaches); 3] =
    [("none", SiblingCaches::None), ("location", SiblingCaches::Location), ("any", SiblingCaches::Any)];
const CACHE_STATUS_REPORTING: [(&str, CacheStatusReporting); 3] = [
    ("none", CacheStatusReporting::None),
    ("hit", CacheStatusReporting::Hit),
    ("all", CacheStatusReporting::All),
];
const LISTED_WEIGHTS: [(&str, ListedWeights); 4] = [
    ("none", ListedWeights::None),
    ("nominal", ListedWeights::Size),
    ("rough", ListedWeights::Size),
    ("live", ListedWeights::Live),
];
const DISCOVERY: [(&str, Discovery); 2] = [("push", Discovery::Push), ("ask", Discovery::Ask)];
const IDEMPOTENCY: [(&str, Idempotency); 3] = [
    ("retryable", Idempotency::Idempotent),
    ("dedup", Idempotency::WithKey),
    ("fragile", Idempotency::NotIdempotent),
];
const DEDUPLICATION_SCOPE: [(&str, DeduplicationScope); 3] = [
    ("all", DeduplicationScope::All),
    ("zone", DeduplicationScope::Zone),
    ("cell", DeduplicationScope::Cell),
];
/// Kind in the settings that stands for "no endpoint has this role".
const NO_KIND: i64 = -1;

/// A value of the settings that can't be parsed.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("setting {key}: can't read {value:?}")]
pub struct SettingParseError {
    /// Path of the setting, such as `limits.sendCap`.
    pub key: String,
    /// Text that could not be parsed as the setting's type.
    pub value: String,
}

/// Settings as a map from path to value. The length of a list of objects is the value at the path
/// of the list with `.count` appended.
pub struct SettingsMap(BTreeMap<String, String>);

impl SettingsMap {
    /// Settings from a map of path to value.
    pub fn new(map: BTreeMap<String, String>) -> SettingsMap {
        SettingsMap(map)
    }

    /// The parsed value at a path. `None` if it is absent or empty; an error if it can't be parsed.
    pub fn read<T: FromStr>(&self, key: &str) -> Result<Option<T>, SettingParseError> {
        match self.non_empty(key) {
            None => Ok(None),
            Some(value) => value.parse().map(Some).map_err(|_| self.unreadable(key)),
        }
    }

    /// The parsed elements of a comma-separated list, empty if the value is absent or empty.
    /// Returns an error if an element can't be parsed.
    pub fn list<T: FromStr>(&self, key: &str) -> Result<Vec<T>, SettingParseError> {
        let Some(values) = self.non_empty(key) else { return Ok(Vec::new()) };
        let parse = |value: &str| value.trim().parse().map_err(|_| self.unreadable(key));
        values.split(',').map(parse).collect()
    }

    /// The value at a path, unless it is absent or empty.
    fn non_empty(&self, key: &str) -> Option<&String> {
        self.0.get(key).filter(|value| !value.is_empty())
    }

    /// Replaces `target` by a finite number, if there is a value.
    fn read_number(&self, key: &str, target: &mut f64) -> Result<(), SettingParseError> {
        match self.read::<f64>(key)? {
            Some(value) if !value.is_finite() => return Err(self.unreadable(key)),
            Some(value) => *target = value,
            None => {}
        }
        Ok(())
    }

    /// Replaces `target` by the parsed value, if there is one.
    fn read_value<T: FromStr>(&self, key: &str, target: &mut T) -> Result<(), SettingParseError> {
        if let Some(value) = self.read(key)? {
            *target = value;
        }
        Ok(())
    }

    /// Replaces `target` by a duration that is given in microseconds, if there is a value.
    fn read_duration(&self, key: &str, target: &mut Duration) -> Result<(), SettingParseError> {
        if let Some(micros) = self.read(key)? {
            *target = Duration::from_micros(micros);
        }
        Ok(())
    }

    fn duration_list(&self, key: &str) -> Result<Vec<Duration>, SettingParseError> {
        Ok(self.list(key)?.into_iter().map(Duration::from_micros).collect())
    }

    /// Replaces `target` by the meaning of one of `words`, if there is a value. Unlike other
    /// values, it must not be empty.
    fn read_word<T: Copy>(
        &self,
        key: &str,
        words: &[(&str, T)],
        target: &mut T,
    ) -> Result<(), SettingParseError> {
        if let Some(value) = self.0.get(key) {
            let known = words.iter().find(|(word, _)| word == value);
            *target = known.map(|(_, meaning)| *meaning).ok_or_else(|| self.unreadable(key))?;
        }
        Ok(())
    }

    /// The kind of endpoint at a path. `None` if it is absent or [`NO_KIND`].
    fn kind(&self, key: &str) -> Result<Option<u16>, SettingParseError> {
        match self.read::<i64>(key)? {
            None | Some(NO_KIND) => Ok(None),
            Some(kind) => u16::try_from(kind).map(Some).map_err(|_| self.unreadable(key)),
        }
    }

    /// The error for a value that can't be parsed.
    fn unreadable(&self, key: &str) -> SettingParseError {
        let value = self.0.get(key).cloned().unwrap_or_default();
        SettingParseError { key: key.to_string(), value }
    }
}

/// Parses the settings of a router. Unknown paths are ignored, and absent ones keep their defaults.
/// Returns an error for the first value that can't be parsed; impossible values are found by
/// [`Settings::check`].
pub fn parse_settings(map: &SettingsMap) -> Result<Settings, SettingParseError> {
    let mut settings = Settings::default();
    map.read_value("az", &mut settings.zone)?;
    map.read_value("groupSize", &mut settings.router_count)?;
    read_family(map, &mut settings)?;
    map.read_word("weightSource", &LISTED_WEIGHTS, &mut settings.weights)?;
    map.read_word("discovery", &DISCOVERY, &mut settings.discovery)?;
    read_rules(map, &mut settings)?;
    read_limits(map, &mut settings)?;
    read_classes(map, &mut settings)?;
    Ok(settings)
}

fn read_family(map: &SettingsMap, settings: &mut Settings) -> Result<(), SettingParseError> {
    settings.router_count_by_zone = map.list("familyInfo.countByZone")?;
    settings.parent_kind = map.kind("familyInfo.shieldKind")?;
    settings.origin_kind = map.kind("familyInfo.storeKind")?;
    map.read_value("familyInfo.bypassAllowed", &mut settings.bypass_edge_cache)?;
    map.read_value("familyInfo.sharesFills", &mut settings.coalesce_fills)?;
    map.read_number("familyInfo.flowKbPerS", &mut settings.flow_kb_per_s)?;
    map.read_number("familyInfo.originFallMultiple", &mut settings.origin_overload_multiple)?;
    map.read_duration("familyInfo.purgeSlack", &mut settings.purge_slack)?;
    map.read_duration("familyInfo.clearedWithin", &mut settings.purge_completion_time)?;
    map.read_number("familyInfo.parentFloor", &mut settings.parent_warm_up_floor)?;
    map.read_duration("familyInfo.upperCold", &mut settings.parent_warm_up_period)?;
    map.read_number("familyInfo.parentFallMultiple", &mut settings.parent_overload_multiple)?;
    map.read_word("familyInfo.neighbours", &SIBLING_CACHES, &mut settings.sibling_caches)?;
    map.read_word("familyInfo.tells", &CACHE_STATUS_REPORTING, &mut settings.cache_status_reporting)
}

fn read_rules(map: &SettingsMap, settings: &mut Settings) -> Result<(), SettingParseError> {
    map.read_duration("rules.mustAskIn", &mut settings.list_silence_timeout)?;
    map.read_duration("rules.drainGrace", &mut settings.drain_grace)?;
    map.read_duration("rules.graceToAnswer", &mut settings.answer_slack)?;
    map.read_number("rules.coldFrom", &mut settings.warm_up_floor)?;
    map.read_duration("rules.warmAfter", &mut settings.warm_up_period)?;
    map.read_number("rules.overloadFactor", &mut settings.overload_multiple)?;
    map.read_duration("rules.tipAfter", &mut settings.overload_window)
}

fn read_limits(map: &SettingsMap, settings: &mut Settings) -> Result<(), SettingParseError> {
    map.read_value("limits.sendCap", &mut settings.max_attempts)?;
    map.read_value("limits.secondCopies", &mut settings.hedging_allowed)?;
    map.read_value("limits.cancel", &mut settings.cancel)?;
    map.read_value("limits.probes", &mut settings.probes)?;
    map.read_value("limits.retryAfter", &mut settings.retry_after)?;
    map.read_duration("limits.maxRetryAfter", &mut settings.max_retry_after)?;
    map.read_duration("limits.dialTimeout", &mut settings.connect_timeout)
}

/// Parses the classes. Some attributes are given as lists by class number, the others at paths
/// below the class.
fn read_classes(map: &SettingsMap, settings: &mut Settings) -> Result<(), SettingParseError> {
    let count: u16 = map.read("classes.count")?.unwrap_or(0);
    let write: Vec<bool> = map.list("familyInfo.classWrite")?;
    let fresh = map.duration_list("familyInfo.maxAge")?;
    let grace = map.duration_list("familyInfo.usableAfter")?;
    let stale_weight: Vec<f64> = map.list("familyInfo.staleEarns")?;
    for index in 0..usize::from(count) {
        let mut class = read_class(map, index)?;
        class.write = write.get(index).copied().unwrap_or(false);
        class.fresh = fresh.get(index).copied().unwrap_or_default();
        class.grace = grace.get(index).copied().unwrap_or_default();
        class.stale_weight = stale_weight.get(index).copied().unwrap_or(1.0);
        settings.classes.push(class);
    }
    Ok(())
}

fn read_class(map: &SettingsMap, index: usize) -> Result<RequestClass, SettingParseError> {
    let mut class = RequestClass::default();
    let key = |name: &str| format!("classes.{index}.{name}");
    map.read_duration(&key("onTime"), &mut class.latency_objective)?;
    map.read_number(&key("aimStretch"), &mut class.latency_objective_stretch)?;
    map.read_duration(&key("hardLimit"), &mut class.deadline)?;
    map.read_number(&key("worth"), &mut class.priority_weight)?;
    map.read_number(&key("lateShare"), &mut class.late_weight)?;
    map.read_word(&key("effect"), &IDEMPOTENCY, &mut class.idempotency)?;
    map.read_word(&key("dedupScope"), &DEDUPLICATION_SCOPE, &mut class.scope)?;
    map.read_duration(&key("keyTtl"), &mut class.window)?;
    map.read_value(&key("stream"), &mut class.stream)?;
    Ok(class)
}
