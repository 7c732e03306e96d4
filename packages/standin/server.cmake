# The stand-in for one server of a database group.
add_executable(celeryquay-standin-server
	src/control_http.c
	src/process.c
	src/server.c
	src/server_apply.c
	src/server_control.c
	src/server_exec.c
	src/server_extended.c
	src/server_fn.c
	src/server_log.c
	src/server_main.c
	src/server_node.c
	src/server_portal.c
	src/server_pull.c
	src/server_record.c
	src/server_repl.c
	src/server_service.c
	src/server_session.c
	src/server_split.c
	src/server_sql.c
	src/server_sqlmap.c
	src/server_state.c
	src/server_txn.c
	src/server_util.c
	src/server_wire.c)
target_link_libraries(celeryquay-standin-server PRIVATE
	PkgConfig::GLIB PkgConfig::JSON PkgConfig::H2O PkgConfig::UV
	PkgConfig::PQ PkgConfig::SQLITE PkgConfig::SSL)

foreach(subject server server_group)
	cq_test(test_standin_${subject} tests/test_${subject}.c
		tests/server_client.c tests/standin_client.c
		LIBS PkgConfig::GLIB PkgConfig::JSON PkgConfig::CURL
		PkgConfig::PQ)
	add_dependencies(test_standin_${subject} celeryquay-standin-server)
endforeach()
