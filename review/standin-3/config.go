//go:build review3

package main

type object = map[string]any

// configuration is a small configuration.
func configuration(version int) []byte { return mustJSON(smallConfiguration(version)) }

func withTenants(version int, tenants []object) []byte {
	c := smallConfiguration(version)
	c["tenants"] = tenants
	return mustJSON(c)
}

// smallConfiguration has one safe and one unsafe route of one service.
func smallConfiguration(version int) object {
	route := func(name, kind string) object {
		return object{
			"name": "r-" + name, "host": "hut.example", "pathPrefix": "/" + name + "/", "routeType": kind, "timeoutMs": 1500, "targetLatencyMs": 300,
			"priority": 2, "service": "hut-desk", "maxAttempts": 2, "public": false, "sessionAffinity": false, "streamResume": false,
		}
	}
	return object{
		"version": version, "routes": []object{route("check", "safe"), route("book", "unsafe")},
		"services": []object{{"name": "hut-desk", "healthPath": "/healthz", "maxConnections": 100, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0}},
		"limits":   object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []object{{"name": "bozi300", "apiKeys": []string{"9dnn2ctnfzs989anu6ws"}, "priority": 1}},
	}
}
