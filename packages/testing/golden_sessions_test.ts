import { expect, test } from "vitest";
import { checkInvariants } from "./invariants/mod.ts";
import {
  formatSession,
  type PreparedRequest,
  type RequestTemplateName,
  SessionClients,
  SessionFleet,
  type SessionFleetOptions,
  type SessionHost,
  type SessionServerOptions,
} from "./sessions/mod.ts";

// Each test guards against a change of what callers, backend servers and
// operators observe in a complete session. To update the golden files, run
// `npx vitest run packages/testing/golden_sessions_test.ts -u`.

function host(
  nodeId: string,
  service: string,
  more: Partial<SessionServerOptions> = {},
): SessionHost {
  return {
    nodeId,
    dataCentre: nodeId.slice(0, nodeId.lastIndexOf("-")),
    server: { service, slots: 4, durationMs: 40, calls: [], ...more },
  };
}

class GoldenSession {
  readonly fleet: SessionFleet;
  readonly clients: SessionClients;

  constructor(options: Omit<SessionFleetOptions, "seed">) {
    this.fleet = new SessionFleet({ ...options, seed: 2_026 });
    this.clients = new SessionClients(this.fleet);
  }

  send(caller: string, node: string, request: PreparedRequest): void {
    void this.clients.send({ caller, node, request });
  }

  sendNew(
    caller: string,
    node: string,
    work: RequestTemplateName,
  ): PreparedRequest {
    const request = this.clients.prepare(work, node);
    this.send(caller, node, request);
    return request;
  }

  async end(name: string): Promise<void> {
    await this.fleet.run(10_000);
    this.fleet.end();
    const { events } = this.fleet.recorder;
    expect(checkInvariants(events)).toEqual([]);
    await expect(formatSession(events))
      .toMatchFileSnapshot(`../../golden/${name}.txt`);
  }
}

const LUNCHTABLE_HOSTS = [
  host("wa-a-1", "bookings", { calls: ["members"] }),
  host("wa-b-1", "bookings", { calls: ["members"] }),
  host("wa-b-2", "members", { durationMs: 10 }),
  host("wa-c-1", "uploads", { durationMs: 1_500 }),
];

async function startLunchtable(
  hosts = LUNCHTABLE_HOSTS,
): Promise<GoldenSession> {
  const session = new GoldenSession({ deployment: "lunchtable", hosts });
  await session.fleet.start();
  session.sendNew("a volunteer", "wa-a-1", "club list");
  session.sendNew("a volunteer", "wa-c-1", "club list");
  session.sendNew("a coordinator", "wa-c-1", "office list");
  await session.fleet.run(1_000);
  return session;
}

async function startBandcraft(
  hosts: readonly SessionHost[],
): Promise<GoldenSession> {
  const session = new GoldenSession({ deployment: "bandcraft", hosts });
  await session.fleet.start();
  session.sendNew("a fitter", "mid-c-1", "measurement lookup");
  session.sendNew("a bandmaster", "mid-c-1", "colliery lookup");
  session.sendNew("the reports", "mid-c-1", "measures report");
  await session.fleet.run(1_000);
  return session;
}

test("a booking whose response is lost is sent again", async () => {
  const session = await startLunchtable();
  session.fleet.network.callFaults.push("lose_answer");
  const first = session.sendNew("Mrs Kelly", "wa-c-1", "booking");
  await session.fleet.run(500);
  session.send("Mrs Kelly", "wa-a-1", first);
  await session.fleet.run(500);
  session.fleet.network.callFaults.push("none", "lose_answer");
  const second = session.sendNew("Mr Osei", "wa-c-1", "booking");
  await session.fleet.run(500);
  session.send("Mr Osei", "wa-b-1", second);
  await session.fleet.run(500);
  const third = session.sendNew("Miss Tan", "wa-c-1", "booking");
  session.send("Miss Tan", "wa-c-1", third);
  await session.end("booking_answer_lost");
});

test("a data centre is lost during a deposit", async () => {
  const session = await startBandcraft([
    host("mid-a-1", "payments", { durationMs: 200 }),
    host("mid-b-1", "payments", { durationMs: 200 }),
    host("mid-c-1", "measures"),
  ]);
  const deposits = ["Mr Hale", "Mrs Byrne", "Ms Ward"].map((caller) =>
    [caller, session.sendNew(caller, "mid-c-1", "deposit")] as const
  );
  const gone = session.sendNew("Mr Cole", "mid-b-1", "deposit");
  await session.fleet.run(100);
  session.fleet.network.cutOff.add("mid-b");
  session.fleet.killHost("mid-b-1");
  await session.fleet.run(4_000);
  deposits.forEach(([caller, deposit]) =>
    session.send(caller, "mid-c-1", deposit)
  );
  session.send("Mr Cole", "mid-a-1", gone);
  await session.fleet.run(4_000);
  session.sendNew("Mr Hale", "mid-c-1", "deposit");
  session.send("Mr Cole", "mid-a-1", gone);
  await session.end("deposit_data_centre_lost");
});

test("measurement lookups are served under overload", async () => {
  const session = await startBandcraft([
    host("mid-a-1", "measures", { slots: 2, durationMs: 60 }),
    host("mid-c-1", "payments"),
  ]);
  for (let round = 0; round < 12; round++) {
    for (let report = 0; report < 5; report++) {
      session.sendNew("the reports", "mid-c-1", "measures report");
    }
    session.sendNew("a fitter", "mid-c-1", "measurement lookup");
    await session.fleet.run(60);
  }
  await session.end("lookup_surge");
});

test("a photo upload is truncated", async () => {
  const session = await startLunchtable();
  const photo = session.clients.prepare("photo menu", "wa-c-1");
  void session.clients.send({
    caller: "a coordinator",
    node: "wa-c-1",
    request: photo,
    arrivingBytes: 150_000,
  });
  await session.fleet.run(500);
  session.send("a coordinator", "wa-c-1", photo);
  await session.fleet.run(2_500);
  session.fleet.network.callFaults.push("none", "cut_answer");
  session.sendNew("a volunteer", "wa-a-1", "club list");
  await session.end("photo_upload_cut");
});

test("a server leaves during the print deadline", async () => {
  const session = await startLunchtable([
    host("wa-a-1", "uploads", { durationMs: 1_500 }),
    host("wa-b-1", "uploads", { durationMs: 1_500 }),
    host("wa-c-1", "members"),
  ]);
  for (let upload = 0; upload < 3; upload++) {
    session.sendNew("the print office", "wa-c-1", "photo menu");
    await session.fleet.run(200);
  }
  session.fleet.network.isolatedNodes.add("wa-a-1");
  void session.fleet.server("wa-a-1").leave();
  for (let upload = 0; upload < 8; upload++) {
    session.sendNew("the print office", "wa-c-1", "allergen sheet");
    await session.fleet.run(500);
  }
  await session.end("drain_print_deadline");
});

test("an agreement is changed by two operators", async () => {
  const session = await startLunchtable();
  const document = "agreement/fremantle-club";
  const expectedVersion = 2;
  const content = (weight: number) =>
    JSON.stringify({ ...JSON.parse(session.fleet.document(document)), weight });
  const change = (
    operator: string,
    node: string,
    details: { identity: string; weight: number; expectedVersion: number },
  ) => {
    const { weight, ...rest } = details;
    void session.clients.change({
      operator,
      node,
      document,
      content: content(weight),
      ...rest,
    });
  };
  change("Ana", "wa-a-1", { identity: "weight 3", weight: 3, expectedVersion });
  change("Ben", "wa-b-1", { identity: "weight 4", weight: 4, expectedVersion });
  await session.fleet.run(4_000);
  session.fleet.store.setFaults({ loseWriteAnswers: 1 });
  change("Ben", "wa-b-1", {
    identity: "weight 4 again",
    weight: 4,
    expectedVersion: 8,
  });
  await session.end("agreement_two_operators");
});

test("nodes restart while the store is unavailable", async () => {
  const session = await startLunchtable();
  session.fleet.store.setFaults({ outage: "refuse" });
  void session.clients.change({
    operator: "Ana",
    node: "wa-a-1",
    identity: "longer queue",
    document: "policy/members",
    content: session.fleet.document("policy/members").replace("60", "80"),
    expectedVersion: 5,
  });
  const booking = session.clients.prepare("booking", "wa-a-1");
  session.send("Mrs Kelly", "wa-a-1", booking);
  await session.fleet.run(500);
  session.fleet.restartNode("wa-a-1", 500);
  await session.fleet.run(4_000);
  session.send("Mrs Kelly", "wa-a-1", booking);
  await session.fleet.run(500);
  session.fleet.nodeIds().forEach((node) =>
    session.fleet.restartNode(node, 500)
  );
  await session.fleet.run(2_000);
  session.sendNew("Mr Osei", "wa-b-1", "booking");
  await session.fleet.run(1_000);
  session.fleet.store.setFaults({ outage: "none" });
  await session.fleet.run(5_000);
  session.sendNew("Mr Osei", "wa-b-1", "booking");
  await session.end("store_outage_restarts");
});
