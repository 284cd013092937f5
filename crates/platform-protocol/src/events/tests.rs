use super::*;

#[test]
fn a_machine_of_a_deployment_without_zones_kinds_or_cells_is_read_all_the_same() {
    let line = r#"{"uid":"s-1","endpoint":"127.0.0.1:1","state":"in_service","more":[1,{"of":"it"}]}"#;
    let event = event(&format!(r#"{{"no":3,"roster":{{"targets":[{line}]}}}}"#)).expect("an event");
    let listed = &event.roster.targets[0];
    assert_eq!((listed.az.as_str(), listed.model.as_str(), listed.pod_group), ("", "", 0));
    assert!(!event.roster.all && listed.room.is_none() && listed.boot_ms == 0);
    let odd = line.replace("\"more\"", "\"pod_group\":-1,\"more\"");
    assert!(super::event(&format!(r#"{{"no":4,"roster":{{"targets":[{odd}]}}}}"#)).is_ok());
    let nobody = line.replace("\"uid\":\"s-1\",", "");
    assert!(super::event(&format!(r#"{{"no":5,"roster":{{"targets":[{nobody}]}}}}"#)).is_err());
}
