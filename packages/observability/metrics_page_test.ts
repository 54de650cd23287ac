import { expect, test } from "vitest";
import { MetricsPage } from "./mod.ts";

test("counters are added up by their labels", () => {
  const page = new MetricsPage();
  page.count("refusals", { reason: "queue_full", service: "menus" });
  page.count("refusals", { reason: "queue_full", service: "menus" });
  page.count("refusals", { reason: "no_worker", service: "menus" });
  expect(page.render()).toContain(
    'refusals{reason="queue_full",service="menus"} 2\n',
  );
});

test("a histogram gives percentiles, count and maximum", () => {
  const page = new MetricsPage();
  for (let value = 1; value <= 100; value++) {
    page.observe("answer_ms", value, { service: "menus" });
  }
  const text = page.render();
  expect(text).toContain('answer_ms{service="menus",quantile="0.5"} 50\n');
  expect(text).toContain('answer_ms_count{service="menus"} 100\n');
  expect(text).toContain('answer_ms_max{service="menus"} 100\n');
});

// Guards against names invented by callers that fill the memory.
test("series beyond the bound are counted as dropped", () => {
  const page = new MetricsPage();
  for (let count = 0; count < 3_000; count++) page.count(`name_${count}`);
  expect(page.render()).toContain("series_dropped 952\n");
});
