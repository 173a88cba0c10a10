//! Header fields, store keys and the environment variable that the platform defines.

use crate::id;
use crate::protocol::names;

/// Header fields of requests and responses.
pub const FIELDS: names::Names = names::Names {
    id: "Bulrushwind-Try-Id",
    timeout_ms: "Bulrushwind-Deadline-Ms",
    instance: "Bulrushwind-Expect-Instance",
    not_run: "Bulrushwind-Not-Run",
    proof: "Bulrushwind-Server-Stamp",
    load: "Bulrushwind-Backend-Load",
    rate_limit: "Server-Limit",
    leaving: "Server-Leaving",
    object_cookie: "Bulrushwind-Affinity-Key",
    key: "Bulrushwind-Key",
    customer: "Bulrushwind-Tenant",
};

/// Header field of the store's responses with the epoch of its history.
pub const STORE_EPOCH: &str = "Store-Era";

/// Environment variable with the path of the settings file.
pub const SETTINGS_FILE_VAR: &str = "BULRUSHWIND_SETTINGS";

/// Prefix of the keys that operators write.
pub const OPERATOR_PREFIX: &str = "op/";

/// Prefix of the keys that entry VMs write.
pub const ENTRY_VM_PREFIX: &str = "bulrushwind/";

/// Key of the current route configuration.
pub const CONFIG_KEY: &str = "op/config";

/// Prefix of evacuation marks; the availability zone follows.
pub const EVACUATION_PREFIX: &str = "op/evacuate/";

/// Prefix of backend server records; the name of the server's incarnation follows.
pub const BACKEND_PREFIX: &str = "servers/";

/// Prefix of entry VM registrations; the availability zone, a slash and the VM's name follow.
pub const REGISTRATION_PREFIX: &str = "bulrushwind/entry/";

/// Prefix of the registrations of the entry VMs in one availability zone.
pub fn registration_prefix(az: &id::AzId) -> String {
    format!("{REGISTRATION_PREFIX}{az}/")
}

/// Prefix of records of requests that were in flight when a backend server crashed; the request's
/// fingerprint, a slash and the name of the backend server's incarnation follow.
pub const CRASH_PREFIX: &str = "bulrushwind/crash/";
