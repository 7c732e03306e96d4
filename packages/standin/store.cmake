# The stand-in for the platform's key-value store.
add_executable(celeryquay-standin-store
	src/control_http.c src/process.c src/store_control.c src/store_front.c
	src/store_json.c src/store_kv.c src/store_lease.c src/store_main.c
	src/store_operation.c src/store_table.c src/store_txn.c
	src/store_watch.c)
target_link_libraries(celeryquay-standin-store PRIVATE PkgConfig::GLIB
	PkgConfig::JSON PkgConfig::H2O PkgConfig::UV)

cq_test(test_standin_store tests/test_store.c tests/store_fixture.c
	tests/standin_client.c src/store_lease.c src/store_table.c
	LIBS PkgConfig::GLIB PkgConfig::JSON PkgConfig::CURL)
add_dependencies(test_standin_store celeryquay-standin-store)
cq_test(test_standin_store_faults tests/test_store_faults.c
	tests/store_fixture.c tests/standin_client.c
	LIBS PkgConfig::GLIB PkgConfig::JSON PkgConfig::CURL)
add_dependencies(test_standin_store_faults celeryquay-standin-store)
