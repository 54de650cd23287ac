import { expect, test } from "vitest";
import { MetricsRegistry } from "./mod.ts";

test("counters are added up by their labels", () => {
  const registry = new MetricsRegistry();
  registry.count("refusals", { reason: "queue_full", service: "menus" });
  registry.count("refusals", { reason: "queue_full", service: "menus" });
  registry.count("refusals", { reason: "no_worker", service: "menus" });
  expect(registry.render()).toContain(
    'refusals{reason="queue_full",service="menus"} 2\n',
  );
});

test("a histogram is rendered as percentiles, count and maximum", () => {
  const registry = new MetricsRegistry();
  for (let value = 1; value <= 100; value++) {
    registry.observe("answer_ms", value, { service: "menus" });
  }
  const text = registry.render();
  expect(text).toContain('answer_ms{service="menus",quantile="0.5"} 50\n');
  expect(text).toContain('answer_ms_count{service="menus"} 100\n');
  expect(text).toContain('answer_ms_max{service="menus"} 100\n');
});

// Guards against memory exhaustion by names that callers send.
test("series beyond the bound are counted as dropped", () => {
  const registry = new MetricsRegistry();
  for (let count = 0; count < 3_000; count++) registry.count(`name_${count}`);
  expect(registry.render()).toContain("series_dropped 952\n");
});
