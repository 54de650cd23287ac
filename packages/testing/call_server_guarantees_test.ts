import { afterEach, expect, test } from "vitest";
import { ERROR_FIELD, REQUEST_FIELD, RUN_FIELD } from "@oleanderdeck/protocol";
import { directTarget, EdgeFixture, forwardTarget, OpenPolicy } from "./mod.ts";
import { ImportanceRespected } from "./invariants/mod.ts";
import { SessionFleet, SessionParties } from "./sessions/mod.ts";

let fixture: EdgeFixture | undefined;
afterEach(() => fixture?.close());

function newFixture(retries: number, idempotent: boolean): EdgeFixture {
  fixture = new EdgeFixture(
    new OpenPolicy({
      services: { bookings: { retries } },
      rule: () => ({ idempotent }),
    }),
  );
  return fixture;
}

// Guards against retries that are given back twice: by the field of the refusal
// and because the refused attempt was not run.
test(
  "edge: refused forwarded attempts stay within the allowance",
  async () => {
    const edges = newFixture(2, true);
    const targets = [];
    for (let index = 0; index < 8; index++) {
      const nodeId = `serving-${index}`;
      const { address } = await edges.edge({}, { nodeId });
      targets.push(forwardTarget(address, nodeId));
    }
    const { admission, url } = await edges.edge({ bookings: targets });
    const answer = await fetch(`${url}/bookings/`);
    expect(answer.headers.get(ERROR_FIELD)).toBe("no_worker");
    expect(admission.requests.length).toBe(3);
  },
);

// Guards against a root that is forgotten while its caller tries again.
test(
  "edge: a caller's own retries count against the same root",
  async () => {
    const targets = Array.from(
      { length: 12 },
      (_, index) => directTarget("127.0.0.1:9", `dead-${index}`),
    );
    const { admission, url } = await newFixture(3, true).edge({
      bookings: targets,
    });
    const headers = { [REQUEST_FIELD]: "list-1" };
    await fetch(`${url}/bookings/`, { headers });
    expect(admission.requests.length).toBe(4);
    await fetch(`${url}/bookings/`, { headers });
    expect(admission.requests.length).toBeLessThanOrEqual(2 + 3);
  },
);

// Guards against retries of a request that may have run once more than allowed.
test("edge: sendings that may have run share one allowance", async () => {
  const edges = newFixture(3, true);
  const targets = [];
  for (let index = 0; index < 12; index++) {
    const address = await edges.rawServer((socket) =>
      socket.once("data", () => socket.destroy())
    );
    targets.push(directTarget(address, `lost-${index}`));
  }
  const { admission, url } = await edges.edge({ bookings: targets });
  const headers = { [REQUEST_FIELD]: "list-1" };
  await fetch(`${url}/bookings/`, { headers });
  // The part lent for a lost attempt stays spent.
  expect(admission.requests.length).toBe(3);
  await fetch(`${url}/bookings/`, { headers });
  expect(admission.requests.length).toBeLessThanOrEqual(2 + 3);
});

async function repeatAtOther(state: "not_ready" | "draining") {
  const edges = newFixture(0, false);
  const backend = await edges.backend({ service: "bookings" });
  const issuer = await edges.edge({
    bookings: [directTarget(backend.address, "issuer")],
  }, { nodeId: "issuer" });
  const other = await edges.edge({}, {
    nodeId: "other",
    parts: { ready: () => state !== "not_ready" },
  });
  if (state === "draining") other.node.callServer.drain();
  const request = {
    method: "POST",
    headers: { [REQUEST_FIELD]: issuer.node.ledger.issue() },
  };
  const first = await fetch(`${issuer.url}/bookings/orders`, request);
  expect([first.status, first.headers.get(RUN_FIELD)]).toEqual([200, "yes"]);
  const again = await fetch(`${other.url}/bookings/orders`, request);
  expect(again.headers.get(ERROR_FIELD)).toBe(state);
  expect(again.headers.get(RUN_FIELD)).not.toBe("no");
}

// Guards against a caller that is told "not run" about a booking that was run,
// and books again with a new permit.
test(
  "edge: a node that is not ready does not deny a run",
  () => repeatAtOther("not_ready"),
);
test(
  "edge: a draining node does not deny a run",
  () => repeatAtOther("draining"),
);

// Guards against a refusal for a limit that the organisation is far below.
test("limit: the first call of an organisation is admitted", async () => {
  const fleet = new SessionFleet({
    deployment: "lunchtable",
    places: ["wa-a-1", "wa-b-1", "wa-c-1"].map((nodeId) => ({
      nodeId,
      dataCentre: nodeId.slice(0, 4),
      server: { service: "members", slots: 4, durationMs: 10, calls: [] },
    })),
    seed: 1,
  });
  await fleet.start();
  const parties = new SessionParties(fleet);
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

// Guards against critical work that is shed while less important work waits in
// the same queue and runs later.
test("admission: waiting work gives way to critical work", async () => {
  const place = (nodeId: string, service: string) => ({
    nodeId,
    dataCentre: nodeId.slice(0, 5),
    server: { service, slots: 8, durationMs: 20, calls: [] },
  });
  const fleet = new SessionFleet({
    deployment: "bandcraft",
    places: [
      place("mid-a-1", "measures"),
      place("mid-b-1", "measures"),
      place("mid-c-1", "payments"),
    ],
    seed: 7,
    unlimited: true,
  });
  await fleet.start();
  const parties = new SessionParties(fleet);
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
  expect(new ImportanceRespected().check(events).length).toBe(0);
});
