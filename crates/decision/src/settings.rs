//! Settings by path, as both the simulator's wire and the configuration file give them.

use crate::interface::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// A setting that can't be read.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("setting {key}: can't read {value:?}")]
pub struct SettingParseError {
    /// The path.
    pub key: String,
    /// What stands there.
    pub value: String,
}

/// Settings as path and value, a list of objects with its length under `.count`.
pub struct SettingsMap(BTreeMap<String, String>);

impl SettingsMap {
    /// Settings by path.
    pub fn new(map: BTreeMap<String, String>) -> SettingsMap {
        SettingsMap(map)
    }
    /// One value, or none where it is absent or empty.
    pub fn read<T: std::str::FromStr>(&self, key: &str) -> Result<Option<T>, SettingParseError> {
        match self.0.get(key).filter(|v| !v.is_empty()) {
            None => Ok(None),
            Some(v) => v.parse().map(Some).map_err(|_| self.bad(key)),
        }
    }
    fn num(&self, key: &str, into: &mut f64) -> Result<(), SettingParseError> {
        if let Some(v) = self.read::<f64>(key)? {
            *into = if v.is_finite() {
                v
            } else {
                return Err(self.bad(key));
            };
        }
        Ok(())
    }
    fn put<T: std::str::FromStr>(&self, key: &str, into: &mut T) -> Result<(), SettingParseError> {
        if let Some(v) = self.read(key)? {
            *into = v;
        }
        Ok(())
    }
    fn span(&self, key: &str, into: &mut Duration) -> Result<(), SettingParseError> {
        if let Some(micros) = self.read(key)? {
            *into = Duration::from_micros(micros);
        }
        Ok(())
    }
    fn spans(&self, key: &str) -> Result<Vec<Duration>, SettingParseError> {
        Ok(self.list(key)?.into_iter().map(Duration::from_micros).collect())
    }
    fn word<T: Copy>(&self, key: &str, words: &[(&str, T)], into: &mut T) -> Result<(), SettingParseError> {
        if let Some(v) = self.0.get(key) {
            let hit = words.iter().find(|(w, _)| w == v);
            *into = hit.map(|(_, t)| *t).ok_or_else(|| self.bad(key))?;
        }
        Ok(())
    }
    /// A comma-separated list; empty if absent.
    pub fn list<T: std::str::FromStr>(&self, key: &str) -> Result<Vec<T>, SettingParseError> {
        match self.0.get(key).filter(|v| !v.is_empty()) {
            None => Ok(Vec::new()),
            Some(v) => v.split(',').map(|p| p.trim().parse().map_err(|_| self.bad(key))).collect(),
        }
    }
    fn bad(&self, key: &str) -> SettingParseError {
        SettingParseError { key: key.to_string(), value: self.0.get(key).cloned().unwrap_or_default() }
    }
}

/// Reads the settings; unknown keys are skipped, absent ones keep their defaults.
pub fn parse_settings(p: &SettingsMap) -> Result<Settings, SettingParseError> {
    let mut s = Settings::default();
    p.put("az", &mut s.zone)?;
    p.put("groupSize", &mut s.router_count)?;
    s.router_count_by_zone = p.list("familyInfo.countByZone")?;
    let kind = |key: &str| -> Result<Option<u16>, SettingParseError> {
        match p.read::<i64>(key)? {
            None | Some(-1) => Ok(None),
            Some(v) => u16::try_from(v).map(Some).map_err(|_| p.bad(key)),
        }
    };
    s.parent_kind = kind("familyInfo.shieldKind")?;
    s.origin_kind = kind("familyInfo.storeKind")?;
    p.put("familyInfo.bypassAllowed", &mut s.bypass_edge_cache)?;
    p.put("familyInfo.sharesFills", &mut s.coalesce_fills)?;
    p.num("familyInfo.flowKbPerS", &mut s.flow_kb_per_s)?;
    p.num("familyInfo.originFallMultiple", &mut s.origin_overload_multiple)?;
    p.span("familyInfo.purgeSlack", &mut s.purge_slack)?;
    p.span("familyInfo.clearedWithin", &mut s.purge_done)?;
    p.num("familyInfo.parentFloor", &mut s.parent_warm_up_floor)?;
    p.span("familyInfo.upperCold", &mut s.parent_warm_up_period)?;
    p.num("familyInfo.parentFallMultiple", &mut s.parent_overload_multiple)?;
    let sibling_caches =
        [("none", SiblingCaches::None), ("location", SiblingCaches::Location), ("any", SiblingCaches::Any)];
    p.word("familyInfo.neighbours", &sibling_caches, &mut s.sibling_caches)?;
    let notes = [
        ("none", CacheStatusReporting::None),
        ("hit", CacheStatusReporting::Hit),
        ("all", CacheStatusReporting::All),
    ];
    p.word("familyInfo.tells", &notes, &mut s.cache_status_reporting)?;
    let weights = [
        ("none", ListedWeights::None),
        ("nominal", ListedWeights::Size),
        ("rough", ListedWeights::Size),
        ("live", ListedWeights::Live),
    ];
    p.word("weightSource", &weights, &mut s.weights)?;
    let discovery = [("push", Discovery::Push), ("ask", Discovery::Ask)];
    p.word("discovery", &discovery, &mut s.discovery)?;
    p.span("rules.mustAskIn", &mut s.list_silence_timeout)?;
    p.span("rules.drainGrace", &mut s.drain_grace)?;
    p.span("rules.graceToAnswer", &mut s.answer_slack)?;
    p.num("rules.coldFrom", &mut s.warm_up_floor)?;
    p.span("rules.warmAfter", &mut s.warm_up_period)?;
    p.num("rules.overloadFactor", &mut s.overload_multiple)?;
    p.span("rules.tipAfter", &mut s.overload_window)?;
    p.put("limits.sendCap", &mut s.max_attempts)?;
    p.put("limits.secondCopies", &mut s.hedging_allowed)?;
    p.put("limits.cancel", &mut s.cancel)?;
    p.put("limits.probes", &mut s.probes)?;
    p.put("limits.retryAfter", &mut s.retry_after)?;
    p.span("limits.maxRetryAfter", &mut s.max_retry_after)?;
    p.span("limits.dialTimeout", &mut s.connect_timeout)?;
    let count: u16 = p.read("classes.count")?.unwrap_or(0);
    let writes: Vec<bool> = p.list("familyInfo.classWrite")?;
    let fresh = p.spans("familyInfo.maxAge")?;
    let grace = p.spans("familyInfo.usableAfter")?;
    let stale: Vec<f64> = p.list("familyInfo.staleEarns")?;
    for i in 0..usize::from(count) {
        let mut c = RequestClass::default();
        let key = |k: &str| format!("classes.{i}.{k}");
        p.span(&key("onTime"), &mut c.latency_objective)?;
        p.num(&key("aimStretch"), &mut c.latency_objective_stretch)?;
        p.span(&key("hardLimit"), &mut c.deadline)?;
        p.num(&key("worth"), &mut c.priority_weight)?;
        p.num(&key("lateShare"), &mut c.late_weight)?;
        let effects = [
            ("retryable", Idempotency::Idempotent),
            ("dedup", Idempotency::WithKey),
            ("fragile", Idempotency::NotIdempotent),
        ];
        p.word(&key("effect"), &effects, &mut c.idempotency)?;
        let scopes = [
            ("all", DeduplicationScope::All),
            ("zone", DeduplicationScope::Zone),
            ("cell", DeduplicationScope::Cell),
        ];
        p.word(&key("dedupScope"), &scopes, &mut c.scope)?;
        p.span(&key("keyTtl"), &mut c.window)?;
        p.put(&key("stream"), &mut c.stream)?;
        c.write = writes.get(i).copied().unwrap_or(false);
        c.fresh = fresh.get(i).copied().unwrap_or_default();
        c.grace = grace.get(i).copied().unwrap_or_default();
        c.stale_weight = stale.get(i).copied().unwrap_or(1.0);
        s.classes.push(c);
    }
    Ok(s)
}
