// The operator: sends configurations and reads them back, at any control instance.
import { call } from "./http.mjs";
import { now, pause } from "./record.mjs";

export const host = "nony24.example";
export const prefix = "/lohu930/";
export const service = "huvo11a";

export const newConfiguration = (version, { timeoutMs = 1500 } = {}) => ({
    version,
    routes: [{
        name: "r-3hwrr6x",
        host,
        path_prefix: prefix,
        type: "non_idempotent",
        timeout_ms: timeoutMs,
        target_latency_ms: 60,
        priority: 0,
        service,
        max_attempts: 3,
        stretch: 1.6,
    }],
    services: [{
        name: service,
        health_path: "/health",
        max_conns: 64,
        protocol: "h1",
        tls: false,
        enforces_capacity: true,
        standby: false,
    }],
    limits: { max_header_bytes: 16384, max_body_bytes: 262144, header_timeout_ms: 3000, idle_timeout_ms: 15000 },
});

export class Operator {
    constructor(record, addresses) {
        this.record = record;
        this.addresses = addresses;
    }

    /** Sends a configuration until it is acknowledged, at one instance after the other; false after `limitMs`. */
    async put(configuration, limitMs) {
        const deadline = now() + limitMs;
        for (let tries = 0; now() < deadline; tries++) {
            const address = this.addresses[tries % this.addresses.length];
            const answer = await call({
                method: "POST",
                address,
                path: "/-/config/put",
                body: configuration,
                timeoutMs: 1_000,
            });
            this.record.add(
                `operator sends version ${configuration.version} to ${address}: ${answer.status ?? answer.end}`,
            );
            if (answer.status === 200) {
                return true;
            }
            await pause(Math.min(500, 50 * 2 ** tries));
        }
        return false;
    }
}
