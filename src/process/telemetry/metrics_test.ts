import { createMetrics } from "./metrics.ts";

describe("metrics", () => {
  it("formats counters, gauges and percentiles", () => {
    const metrics = createMetrics();
    metrics.count("requests_total", { outcome: "done" });
    metrics.count("requests_total", { outcome: "done" }, 2);
    metrics.gauge("in_flight", () => 4);
    for (let value = 1; value <= 100; value++) {
      metrics.record("first_token_ms", value);
    }
    expect(metrics.format()).toBe([
      "first_token_ms_count 100",
      'first_token_ms{quantile="0.5"} 50',
      'first_token_ms{quantile="0.95"} 95',
      'first_token_ms{quantile="0.99"} 99',
      "in_flight 4",
      'requests_total{outcome="done"} 3',
      "",
    ].join("\n"));
  });
});
