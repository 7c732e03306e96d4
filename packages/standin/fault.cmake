# The TCP proxy that injects faults between the processes of a test.
add_executable(celeryquay-faultproxy
	src/control_http.c src/fault_clock.c src/fault_connection.c
	src/fault_control.c src/fault_main.c src/fault_pipe.c
	src/fault_route.c src/process.c)
target_link_libraries(celeryquay-faultproxy PRIVATE PkgConfig::GLIB
	PkgConfig::JSON PkgConfig::H2O PkgConfig::UV)

cq_test(test_standin_fault tests/test_fault.c tests/standin_client.c
	LIBS PkgConfig::GLIB PkgConfig::JSON PkgConfig::CURL)
add_dependencies(test_standin_fault celeryquay-faultproxy)
