use super::*;

#[test]
fn endpoint_without_zone_kind_or_cell_is_parsed() {
    let line = r#"{"uid":"s-1","endpoint":"127.0.0.1:1","state":"in_service","more":[1,{"of":"it"}]}"#;
    let event = parse_event(&format!(r#"{{"no":3,"roster":{{"targets":[{line}]}}}}"#)).expect("an event");
    let endpoint = &event.change.endpoints[0];
    assert_eq!((endpoint.zone.as_str(), endpoint.kind.as_str(), endpoint.cell), ("", "", 0));
    assert!(!event.change.is_snapshot && endpoint.free.is_none() && endpoint.late_start_ms == 0);
    let negative_cell = line.replace("\"more\"", "\"pod_group\":-1,\"more\"");
    assert!(parse_event(&format!(r#"{{"no":4,"roster":{{"targets":[{negative_cell}]}}}}"#)).is_ok());
    let nameless = line.replace("\"uid\":\"s-1\",", "");
    assert!(parse_event(&format!(r#"{{"no":5,"roster":{{"targets":[{nameless}]}}}}"#)).is_err());
}
