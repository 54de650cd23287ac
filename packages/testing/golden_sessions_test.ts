import { expect, test } from "vitest";
import { checkInvariants } from "./invariants/mod.ts";
import {
  type RequestIdentity,
  SessionFleet,
  type SessionFleetOptions,
  SessionParties,
  type SessionPlace,
  type SessionServerOptions,
  type SessionWorkName,
  tellSession,
} from "./sessions/mod.ts";

// Each test guards against a change of what callers, backend servers and
// operators see in a whole session. The stories are written anew by
// `npx vitest run packages/testing/golden_sessions_test.ts -u`.

function place(
  nodeId: string,
  service: string,
  more: Partial<SessionServerOptions> = {},
): SessionPlace {
  return {
    nodeId,
    dataCentre: nodeId.slice(0, nodeId.lastIndexOf("-")),
    server: { service, slots: 4, durationMs: 40, calls: [], ...more },
  };
}

class Play {
  readonly fleet: SessionFleet;
  readonly parties: SessionParties;

  constructor(options: Omit<SessionFleetOptions, "seed">) {
    this.fleet = new SessionFleet({ ...options, seed: 2_026 });
    this.parties = new SessionParties(this.fleet);
  }

  send(caller: string, node: string, request: RequestIdentity): void {
    void this.parties.send({ caller, node, request });
  }

  ask(caller: string, node: string, work: SessionWorkName): RequestIdentity {
    const request = this.parties.prepare(work, node);
    this.send(caller, node, request);
    return request;
  }

  async end(name: string): Promise<void> {
    await this.fleet.run(10_000);
    this.fleet.end();
    const { events } = this.fleet.recorder;
    expect(checkInvariants(events)).toEqual([]);
    await expect(tellSession(events))
      .toMatchFileSnapshot(`../../golden/${name}.txt`);
  }
}

const LUNCHTABLE = [
  place("wa-a-1", "bookings", { calls: ["members"] }),
  place("wa-b-1", "bookings", { calls: ["members"] }),
  place("wa-b-2", "members", { durationMs: 10 }),
  place("wa-c-1", "uploads", { durationMs: 1_500 }),
];

async function startLunchtable(places = LUNCHTABLE): Promise<Play> {
  const play = new Play({ deployment: "lunchtable", places });
  await play.fleet.start();
  play.ask("a volunteer", "wa-a-1", "club list");
  play.ask("a volunteer", "wa-c-1", "club list");
  play.ask("a coordinator", "wa-c-1", "office list");
  await play.fleet.run(1_000);
  return play;
}

async function startBandcraft(places: readonly SessionPlace[]): Promise<Play> {
  const play = new Play({ deployment: "bandcraft", places });
  await play.fleet.start();
  play.ask("a fitter", "mid-c-1", "measurement lookup");
  play.ask("a bandmaster", "mid-c-1", "colliery lookup");
  play.ask("the reports", "mid-c-1", "measures report");
  await play.fleet.run(1_000);
  return play;
}

test("a booking whose answer is lost is asked for again", async () => {
  const play = await startLunchtable();
  play.fleet.network.callFaults.push("lose_answer");
  const first = play.ask("Mrs Kelly", "wa-c-1", "booking");
  await play.fleet.run(500);
  play.send("Mrs Kelly", "wa-a-1", first);
  await play.fleet.run(500);
  play.fleet.network.callFaults.push("none", "lose_answer");
  const second = play.ask("Mr Osei", "wa-c-1", "booking");
  await play.fleet.run(500);
  play.send("Mr Osei", "wa-b-1", second);
  await play.fleet.run(500);
  const third = play.ask("Miss Tan", "wa-c-1", "booking");
  play.send("Miss Tan", "wa-c-1", third);
  await play.end("booking_answer_lost");
});

test("a deposit meets the loss of a data centre", async () => {
  const play = await startBandcraft([
    place("mid-a-1", "payments", { durationMs: 200 }),
    place("mid-b-1", "payments", { durationMs: 200 }),
    place("mid-c-1", "measures"),
  ]);
  const deposits = ["Mr Hale", "Mrs Byrne", "Ms Ward"].map((caller) =>
    [caller, play.ask(caller, "mid-c-1", "deposit")] as const
  );
  const gone = play.ask("Mr Cole", "mid-b-1", "deposit");
  await play.fleet.run(100);
  play.fleet.network.cutOff.add("mid-b");
  play.fleet.killHost("mid-b-1");
  await play.fleet.run(4_000);
  deposits.forEach(([caller, deposit]) =>
    play.send(caller, "mid-c-1", deposit)
  );
  play.send("Mr Cole", "mid-a-1", gone);
  await play.fleet.run(4_000);
  play.ask("Mr Hale", "mid-c-1", "deposit");
  play.send("Mr Cole", "mid-a-1", gone);
  await play.end("deposit_data_centre_lost");
});

test("measurement lookups are served in a surge", async () => {
  const play = await startBandcraft([
    place("mid-a-1", "measures", { slots: 2, durationMs: 60 }),
    place("mid-c-1", "payments"),
  ]);
  for (let round = 0; round < 12; round++) {
    for (let report = 0; report < 5; report++) {
      play.ask("the reports", "mid-c-1", "measures report");
    }
    play.ask("a fitter", "mid-c-1", "measurement lookup");
    await play.fleet.run(60);
  }
  await play.end("lookup_surge");
});

test("a photo upload is cut half way", async () => {
  const play = await startLunchtable();
  const photo = play.parties.prepare("photo menu", "wa-c-1");
  void play.parties.send({
    caller: "a coordinator",
    node: "wa-c-1",
    request: photo,
    arrivingBytes: 150_000,
  });
  await play.fleet.run(500);
  play.send("a coordinator", "wa-c-1", photo);
  await play.fleet.run(2_500);
  play.fleet.network.callFaults.push("none", "cut_answer");
  play.ask("a volunteer", "wa-a-1", "club list");
  await play.end("photo_upload_cut");
});

test("a server leaves during the print deadline", async () => {
  const play = await startLunchtable([
    place("wa-a-1", "uploads", { durationMs: 1_500 }),
    place("wa-b-1", "uploads", { durationMs: 1_500 }),
    place("wa-c-1", "members"),
  ]);
  for (let upload = 0; upload < 3; upload++) {
    play.ask("the print office", "wa-c-1", "photo menu");
    await play.fleet.run(200);
  }
  play.fleet.network.muted.add("wa-a-1");
  void play.fleet.server("wa-a-1").leave();
  for (let upload = 0; upload < 8; upload++) {
    play.ask("the print office", "wa-c-1", "allergen sheet");
    await play.fleet.run(500);
  }
  await play.end("drain_print_deadline");
});

test("an agreement is changed by two operators", async () => {
  const play = await startLunchtable();
  const document = "agreement/fremantle-club";
  const expectedVersion = 2;
  const content = (weight: number) =>
    JSON.stringify({ ...JSON.parse(play.fleet.document(document)), weight });
  const change = (
    operator: string,
    node: string,
    details: { identity: string; weight: number; expectedVersion: number },
  ) => {
    const { weight, ...rest } = details;
    void play.parties.change({
      operator,
      node,
      document,
      content: content(weight),
      ...rest,
    });
  };
  change("Ana", "wa-a-1", { identity: "weight 3", weight: 3, expectedVersion });
  change("Ben", "wa-b-1", { identity: "weight 4", weight: 4, expectedVersion });
  await play.fleet.run(4_000);
  play.fleet.store.setFaults({ loseWriteAnswers: 1 });
  change("Ben", "wa-b-1", {
    identity: "weight 4 again",
    weight: 4,
    expectedVersion: 8,
  });
  await play.end("agreement_two_operators");
});

test("nodes restart while the store is unavailable", async () => {
  const play = await startLunchtable();
  play.fleet.store.setFaults({ outage: "refuse" });
  void play.parties.change({
    operator: "Ana",
    node: "wa-a-1",
    identity: "longer queue",
    document: "policy/members",
    content: play.fleet.document("policy/members").replace("60", "80"),
    expectedVersion: 5,
  });
  const booking = play.parties.prepare("booking", "wa-a-1");
  play.send("Mrs Kelly", "wa-a-1", booking);
  await play.fleet.run(500);
  play.fleet.restartNode("wa-a-1", 500);
  await play.fleet.run(4_000);
  play.send("Mrs Kelly", "wa-a-1", booking);
  await play.fleet.run(500);
  play.fleet.nodeIds().forEach((node) => play.fleet.restartNode(node, 500));
  await play.fleet.run(2_000);
  play.ask("Mr Osei", "wa-b-1", "booking");
  await play.fleet.run(1_000);
  play.fleet.store.setFaults({ outage: "none" });
  await play.fleet.run(5_000);
  play.ask("Mr Osei", "wa-b-1", "booking");
  await play.end("store_outage_restarts");
});
