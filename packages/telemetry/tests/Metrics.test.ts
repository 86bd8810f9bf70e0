/** Counters by name and labels, and their export in the Prometheus text format. */

import { Metrics } from "@anvilmux/telemetry";

describe("metrics", () => {
    test("a counter without labels and one for each set of labels are exported", () => {
        const metrics = new Metrics();
        metrics.count("starts_total");
        metrics.count("starts_total", {}, 2);
        metrics.count("ends_total", { queue: "checks", outcome: "done" });
        metrics.count("ends_total", { queue: "checks", outcome: "failed" });
        expect(metrics.toPrometheusText()).toBe([
            "# TYPE starts_total counter",
            "starts_total 3",
            "# TYPE ends_total counter",
            "ends_total{queue=\"checks\",outcome=\"done\"} 1",
            "ends_total{queue=\"checks\",outcome=\"failed\"} 1",
            "",
        ].join("\n"));
        expect([metrics.getCount("ends_total"), metrics.getCount("ends_total", { outcome: "done" })]).toEqual([2, 1]);
    });

    test("quotes, backslashes and line breaks in label values are escaped", () => {
        const metrics = new Metrics();
        metrics.count("ends_total", { a: "say \"x\"", b: "c:\\d\\e", c: "one\ntwo\nthree", d: "\\\"\n" });
        expect(metrics.toPrometheusText()).toContain(
            "ends_total{a=\"say \\\"x\\\"\",b=\"c:\\\\d\\\\e\",c=\"one\\ntwo\\nthree\",d=\"\\\\\\\"\\n\"} 1",
        );
    });
});
