import { afterEach, expect, test } from "vitest";
import { ERROR_FIELD, REQUEST_FIELD, RUN_FIELD } from "@oleanderdeck/protocol";
import {
  CallServerFixture,
  directTarget,
  forwardTarget,
  OpenPolicy,
} from "./mod.ts";
import { PriorityRespected } from "./invariants/mod.ts";
import { SessionClients, SessionFleet } from "./sessions/mod.ts";

let fixture: CallServerFixture | undefined;
afterEach(() => fixture?.close());

function newFixture(retries: number, idempotent: boolean): CallServerFixture {
  fixture = new CallServerFixture(
    new OpenPolicy({
      services: { bookings: { retries } },
      rule: () => ({ idempotent }),
    }),
  );
  return fixture;
}

// Guards against lent retries that are returned twice: by the header field of the
// refusal, and because the refused attempt was not run.
test(
  "refused forwarded attempts stay within the retry allowance",
  async () => {
    const servers = newFixture(2, true);
    const targets = [];
    for (let index = 0; index < 8; index++) {
      const nodeId = `serving-${index}`;
      const { address } = await servers.callServer({}, { nodeId });
      targets.push(forwardTarget(address, nodeId));
    }
    const { admission, url } = await servers.callServer({ bookings: targets });
    const answer = await fetch(`${url}/bookings/`);
    expect(answer.headers.get(ERROR_FIELD)).toBe("no_worker");
    expect(admission.requests.length).toBe(3);
  },
);

// Guards against a root request whose allowance is dropped while its caller still
// retries, so that each retry starts with a new allowance.
test(
  "a caller's own retries share the allowance of the root request",
  async () => {
    const targets = Array.from(
      { length: 12 },
      (_, index) => directTarget("127.0.0.1:9", `dead-${index}`),
    );
    const { admission, url } = await newFixture(3, true).callServer({
      bookings: targets,
    });
    const headers = { [REQUEST_FIELD]: "list-1" };
    await fetch(`${url}/bookings/`, { headers });
    expect(admission.requests.length).toBe(4);
    await fetch(`${url}/bookings/`, { headers });
    expect(admission.requests.length).toBeLessThanOrEqual(2 + 3);
  },
);

// Guards against one retry too many of a request that may have run.
test("attempts that may have run share one allowance", async () => {
  const servers = newFixture(3, true);
  const targets = [];
  for (let index = 0; index < 12; index++) {
    const address = await servers.rawServer((socket) =>
      socket.once("data", () => socket.destroy())
    );
    targets.push(directTarget(address, `lost-${index}`));
  }
  const { admission, url } = await servers.callServer({ bookings: targets });
  const headers = { [REQUEST_FIELD]: "list-1" };
  await fetch(`${url}/bookings/`, { headers });
  // The retries lent to a lost attempt count as used.
  expect(admission.requests.length).toBe(3);
  await fetch(`${url}/bookings/`, { headers });
  expect(admission.requests.length).toBeLessThanOrEqual(2 + 3);
});

async function expectRunNotDenied(state: "not_ready" | "draining") {
  const servers = newFixture(0, false);
  const backend = await servers.backend({ service: "bookings" });
  const issuer = await servers.callServer({
    bookings: [directTarget(backend.address, "issuer")],
  }, { nodeId: "issuer" });
  const other = await servers.callServer({}, {
    nodeId: "other",
    parts: { ready: () => state !== "not_ready" },
  });
  if (state === "draining") other.node.callServer.drain();
  const request = {
    method: "POST",
    headers: { [REQUEST_FIELD]: issuer.node.permitLedger.issue() },
  };
  const first = await fetch(`${issuer.url}/bookings/orders`, request);
  expect([first.status, first.headers.get(RUN_FIELD)]).toEqual([200, "yes"]);
  const again = await fetch(`${other.url}/bookings/orders`, request);
  expect(again.headers.get(ERROR_FIELD)).toBe(state);
  expect(again.headers.get(RUN_FIELD)).not.toBe("no");
}

// Guards against a "not run" response about a booking that was run, after which
// the caller books again with a new permit.
test(
  "a node that is not ready does not report an executed request as not run",
  () => expectRunNotDenied("not_ready"),
);
test(
  "a draining node does not report an executed request as not run",
  () => expectRunNotDenied("draining"),
);

// Guards against a refusal for a limit although the organisation is far below it.
test("the first call of an organisation is within its limit", async () => {
  const fleet = new SessionFleet({
    deployment: "lunchtable",
    hosts: ["wa-a-1", "wa-b-1", "wa-c-1"].map((nodeId) => ({
      nodeId,
      dataCentre: nodeId.slice(0, 4),
      server: { service: "members", slots: 4, durationMs: 10, calls: [] },
    })),
    seed: 1,
  });
  await fleet.start();
  const parties = new SessionClients(fleet);
  const answers = (["club list", "member list", "office list"] as const).map(
    (work) =>
      parties.send({
        caller: "a volunteer",
        node: "wa-a-1",
        request: parties.prepare(work, "wa-a-1"),
      }),
  );
  await fleet.run(1_000);
  const errors = (await Promise.all(answers)).map((answer) =>
    answer?.error?.kind
  );
  expect(errors).toEqual([undefined, undefined, undefined]);
});

// Guards against critical requests that are shed while less important requests
// wait in the same queue and run later.
test("critical requests displace less important waiting requests", async () => {
  const place = (nodeId: string, service: string) => ({
    nodeId,
    dataCentre: nodeId.slice(0, 5),
    server: { service, slots: 8, durationMs: 20, calls: [] },
  });
  const fleet = new SessionFleet({
    deployment: "bandcraft",
    hosts: [
      place("mid-a-1", "measures"),
      place("mid-b-1", "measures"),
      place("mid-c-1", "payments"),
    ],
    seed: 7,
    unlimited: true,
  });
  await fleet.start();
  const parties = new SessionClients(fleet);
  const node = "mid-c-1";
  void fleet.server("mid-a-1").leave();
  const send = (work: "measures report" | "measurement lookup") => {
    const request = parties.prepare(work, node);
    void parties.send({ caller: "caller", node, request });
  };
  for (let round = 0; round < 20; round++) {
    for (let report = 0; report < 12; report++) send("measures report");
    for (let lookup = 0; lookup < 30; lookup++) send("measurement lookup");
    await fleet.run(75);
  }
  await fleet.run(5_000);
  const { events } = fleet.recorder;
  expect(new PriorityRespected().check(events).length).toBe(0);
});
