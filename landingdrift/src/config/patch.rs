use serde_json::Value;

/// Merges a JSON merge patch into a value: null removes, objects merge, all else replaces.
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
