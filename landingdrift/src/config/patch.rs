use serde_json::Value;

/// Applies a JSON merge patch (RFC 7396) to a value: null removes a field, objects are merged, anything else replaces.
pub fn merge(into: &mut Value, patch: &Value) {
    match patch {
        Value::Object(fields) => {
            if !into.is_object() {
                *into = Value::Object(Default::default());
            }
            let target = into.as_object_mut().expect("made an object above");
            for (k, v) in fields {
                if v.is_null() {
                    target.remove(k);
                } else {
                    merge(target.entry(k.clone()).or_insert(Value::Null), v);
                }
            }
        }
        other => *into = other.clone(),
    }
}
