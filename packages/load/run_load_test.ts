import { createHash } from "node:crypto";
import http from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, expect, test } from "vitest";
import { readJsonc } from "@oleanderdeck/settings";
import { arrivalTimes, seededRandom } from "./arrivals.ts";
import {
  type LoadDescription,
  loadDescriptionSchema,
} from "./load_description.ts";
import { renderLoadReference } from "./load_reference.ts";
import { runLoad } from "./run_load.ts";

const servers: http.Server[] = [];

afterEach(() => {
  servers.splice(0).forEach((server) => {
    server.close();
    server.closeAllConnections();
  });
});

function startNode(listener: http.RequestListener): Promise<string> {
  const server = http.createServer(listener);
  servers.push(server);
  return new Promise((resolve) =>
    server.listen(0, "127.0.0.1", () => {
      resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    })
  );
}

function describeLoad(fields: object): LoadDescription {
  return readJsonc(
    JSON.stringify({ phases: [{ durationMs: 300, multiplier: 1 }], ...fields }),
    loadDescriptionSchema,
  ).unsafeCoerce();
}

const hash = createHash("sha256").update("whole").digest("hex");

const LISTENERS: Readonly<Record<string, http.RequestListener>> = {
  "/s/whole": (_, response) =>
    response.setHeader("x-body-sha256", hash).end("whole"),
  "/s/chunked": (_, response) => {
    response.write("wh");
    response.end("ole");
  },
  "/s/wrong": (_, response) =>
    response.setHeader("x-body-sha256", hash).end("whale"),
  "/s/cut": (_, response) => {
    response.write("part");
    setTimeout(() => response.destroy(), 5);
  },
  "/s/short": (_, response) => {
    response.setHeader("content-length", 100).write("part");
    setTimeout(() => response.destroy(), 5);
  },
  "/s/unframed": (request) => {
    request.socket.end("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\npart");
  },
  "/s/shed": (_, response) =>
    response.writeHead(503, {
      "oleanderdeck-error": "queue_full",
      "oleanderdeck-run": "no",
    }).end(),
  "/s/broken": (_, response) => response.writeHead(500).end(),
  "/s/silent": () => {},
  "/s/lost": (request) => void request.socket.destroy(),
};

// Guards against truncated or wrong bodies that are counted as complete, and
// against a wrong statement about whether a call was executed.
test("every response is classified", async () => {
  const node = await startNode((request, response) =>
    LISTENERS[request.url!]!(request, response)
  );
  const report = await runLoad(describeLoad({
    nodes: [node],
    arrivals: "even",
    calls: Object.keys(LISTENERS).map((path) => ({
      name: path.slice(3),
      service: "s",
      path: path.slice(2),
      callsPerSecond: 20,
      timeoutMs: 1000,
    })),
  }));
  const namesWithAll = (counts: object, sent: number) =>
    Object.entries(counts).filter(([, count]) => count > 0)
      .map(([name, count]) => count === sent ? name : `${name}=${count}`)
      .join(" ");
  const seen = Object.fromEntries(
    Object.entries(report.calls).map(([name, { sent, calls }]) => [
      name,
      `${namesWithAll(calls.outcomes, sent)} ${namesWithAll(calls.run, sent)}`,
    ]),
  );
  expect(seen).toEqual({
    whole: "whole yes",
    chunked: "whole yes",
    wrong: "wrong_body unknown",
    cut: "cut unknown",
    short: "cut unknown",
    unframed: "cut unknown",
    shed: "rejected no",
    broken: "error_status unknown",
    silent: "timed_out unknown",
    lost: "connection_lost unknown",
  });
  expect(report.totals.calls.rejected).toEqual({
    queue_full: report.calls.shed!.sent,
  });
  const { sentTimeline, sent } = report.totals;
  expect(sentTimeline.reduce((sum, count) => sum + count, 0)).toBe(sent);
});

// Guards against a caller that retries a non-idempotent call without a permit,
// or that ignores the retry delay in the response.
test("callers retry as described", async () => {
  const requests: string[] = [];
  const node = await startNode((request, response) => {
    const identity = request.headers["oleanderdeck-request"];
    requests.push(`${request.url} ${identity}`);
    if (request.url!.endsWith("/permits")) {
      response.writeHead(201, { "content-type": "application/json" });
      return response.end('{"permit":"p.1"}');
    }
    if (request.url === "/s/required" && identity === undefined) {
      return response.writeHead(428, {
        "oleanderdeck-error": "permit_required",
        "oleanderdeck-request": "p.2",
      }).end();
    }
    if (request.url === "/s/later") {
      return response.writeHead(503, {
        "oleanderdeck-error": "queue_full",
        "oleanderdeck-run": "no",
        "oleanderdeck-retry-after-ms": "50",
      }).end();
    }
    request.socket.destroy();
  });
  const post = { service: "s", method: "POST", callsPerSecond: 10 };
  const retry = { attempts: 3, pauseMs: 1 };
  const report = await runLoad(describeLoad({
    nodes: [node],
    arrivals: "even",
    phases: [{ durationMs: 150, multiplier: 1 }],
    calls: [
      { ...post, name: "plain", path: "/plain", retry },
      { ...post, name: "first", path: "/first", retry, permit: "first" },
      { ...post, name: "asked", path: "/required", retry, permit: "on_demand" },
      { ...post, name: "later", path: "/later", retry },
      {
        ...post,
        name: "aggressive",
        path: "/aggressive",
        retry: { ...retry, when: "always" },
      },
    ],
  }));
  const countRequests = (line: string) =>
    requests.filter((request) => request === line).length;
  expect(countRequests("/s/plain undefined")).toBe(1);
  expect(countRequests("/s/first p.1")).toBe(3);
  expect(countRequests("/oleanderdeck/v1/permits undefined")).toBe(1);
  expect(countRequests("/s/required undefined")).toBe(1);
  expect(countRequests("/s/required p.2")).toBe(3);
  expect(countRequests("/s/later undefined")).toBe(3);
  expect(countRequests("/s/aggressive undefined")).toBe(3);
  expect(report.calls.first!.permits.outcomes).toEqual({ whole: 1 });
  expect(report.calls.asked!.retries).toBe(3);
});

// Guards against a run that does not end, or that opens an unbounded number of
// calls, when nodes do not respond.
test("a run is bounded in count and time", async () => {
  const node = await startNode(() => {});
  const started = performance.now();
  const report = await runLoad(
    describeLoad({
      nodes: [node],
      maximumInFlight: 5,
      calls: [{ service: "s", callsPerSecond: 200, timeoutMs: 60_000 }],
    }),
    { drainMs: 50 },
  );
  expect(performance.now() - started).toBeLessThan(5000);
  expect(report.totals.sent).toBe(5);
  expect(report.totals.notSent).toBeGreaterThan(0);
  expect(report.totals.calls.outcomes).toEqual({ cancelled: 5 });

  const controller = new AbortController();
  setTimeout(() => controller.abort(), 50);
  const cancelled = await runLoad(
    describeLoad({
      nodes: [node],
      phases: [{ durationMs: 60_000, multiplier: 1 }],
      calls: [{ service: "s", callsPerSecond: 1 }],
    }),
    { signal: controller.signal },
  );
  expect(cancelled.cancelled).toBe(true);
});

// Guards against measured latencies that include the opening of connections.
test("the warm-up is excluded from the latencies", async () => {
  const node = await startNode((_, response) => void response.end("x"));
  const { totals } = await runLoad(describeLoad({
    nodes: [node],
    arrivals: "even",
    warmUpMs: 150,
    calls: [{ service: "s", callsPerSecond: 100 }],
  }));
  expect(totals.calls.outcomes).toEqual({ whole: totals.sent });
  expect(Math.abs(totals.latencyMs.count - totals.sent / 2)).toBeLessThan(2);
});

// Guards against a first gap that is far longer than the mean with small seeds,
// so that a slow or short load sends nothing.
test("the first arrival comes after one mean gap on average", () => {
  const { calls, phases } = describeLoad({
    nodes: ["127.0.0.1:1"],
    phases: [{ durationMs: 3_600_000, multiplier: 1 }],
    calls: [{ service: "s", callsPerSecond: 1 }],
  });
  const runs = 2000;
  const first = Array.from({ length: runs }, (_, seed) => {
    const random = seededRandom(seed);
    const options = { phases, arrivals: "poisson", random } as const;
    return Number(arrivalTimes(calls[0]!, options).next().value);
  });
  const mean = first.reduce((sum, time) => sum + time, 0) / runs;
  // Four standard errors of the mean of exponential gaps of 1 s.
  expect(Math.abs(mean - 1000)).toBeLessThan(4 * 1000 / Math.sqrt(runs));
});

// Guards against phases whose rate differs from the described one.
test("arrivals follow the phases", () => {
  const { calls, phases } = describeLoad({
    nodes: ["127.0.0.1:1"],
    phases: [
      { durationMs: 10_000, multiplier: 1 },
      { durationMs: 5000, multiplier: 0 },
      { durationMs: 10_000, multiplier: 5, calls: ["s-get"] },
    ],
    calls: [{ service: "s", callsPerSecond: 100 }],
  });
  for (const arrivals of ["even", "poisson"] as const) {
    const random = seededRandom(7);
    const times = [...arrivalTimes(calls[0]!, { phases, arrivals, random })];
    const between = (from: number, to: number) =>
      times.filter((time) => time >= from && time < to).length;
    expect(Math.abs(between(0, 10_000) - 1000)).toBeLessThan(100);
    expect(between(10_000, 15_000)).toBe(0);
    expect(Math.abs(between(15_000, 25_000) - 5000)).toBeLessThan(250);
    expect(times).toEqual([...times].sort((a, b) => a - b));
  }
});

// Guards against load sent to other hosts by mistake, and against endless runs.
test("invalid descriptions are rejected with all faults", () => {
  const faults = readJsonc(
    JSON.stringify({
      nodes: ["10.0.0.1:7000"],
      phases: [{ durationMs: 3_600_000, multiplier: 1, calls: ["x"] }],
      calls: [
        { service: "s", callsPerSecond: 100_000 },
        { service: "s", callsPerSecond: 1 },
      ],
    }),
    loadDescriptionSchema,
  ).swap().unsafeCoerce();
  expect(faults.map(({ path }) => path).sort()).toEqual([
    "calls",
    "calls[1]",
    "nodes[0]",
    "phases[0].calls[0]",
  ]);
});

// Guards against a reference page that does not match the schema.
test("docs/load.md is current", async () => {
  await expect(renderLoadReference())
    .toMatchFileSnapshot("../../docs/load.md");
});
