import type { SessionEvent } from "../invariants/mod.ts";
import {
  type ChangeStep,
  type DatagramFaultStep,
  type FaultSchedule,
  type NodeFaultStep,
  type RequestStep,
  type ScheduleStep,
  type StoreFaultStep,
} from "./fault_schedule.ts";
import { SessionFleet, type SessionPlace } from "./session_fleet.ts";
import type { SessionNodeVariant } from "./session_node.ts";
import { SessionParties } from "./session_parties.ts";
import { SESSION_WORKS } from "./session_works.ts";

/** Document that operators change. */
const CHANGED_DOCUMENT = "policy/members";

/**
 * Time after the last step, in milliseconds: the longest request, the longest
 * fault and the limit of 8 s for changes fit into it.
 */
const REST_MS = 16_000;

/** Time for the first requests, in milliseconds. */
const WARM_UP_MS = 500;

/** A request of each organisation. */
const WARM_UP_WORKS = ["club list", "member list", "office list"] as const;

/** Time from the end of a stay to the start of the next server, in ms. */
const REPLACEMENT_MS = 1_000;

function place(
  nodeId: string,
  service: string,
  calls: readonly string[],
): SessionPlace {
  return {
    nodeId,
    dataCentre: nodeId.slice(0, 4),
    server: { service, slots: 4, durationMs: 40, calls },
  };
}

const PLACES: readonly SessionPlace[] = [
  place("wa-a-1", "bookings", ["members"]),
  place("wa-a-2", "members", []),
  place("wa-a-3", "uploads", ["members"]),
  place("wa-b-1", "bookings", ["members"]),
  place("wa-b-2", "members", []),
  place("wa-b-3", "uploads", ["members"]),
];

/**
 * Runs a schedule of faults against real components and records the session.
 *
 * @param schedule Seed and steps.
 * @param variant Broken parts, for tests of the soak itself.
 */
export async function runSchedule(
  schedule: FaultSchedule,
  variant: SessionNodeVariant = {},
): Promise<readonly SessionEvent[]> {
  const fleet = new SessionFleet({
    deployment: "lunchtable",
    places: PLACES,
    seed: schedule.seed,
    unlimited: !schedule.limits,
    variant,
  });
  await fleet.start();
  const run = new ScheduleRun(fleet);
  if (schedule.limits) {
    run.warmUp();
    await fleet.run(WARM_UP_MS);
  }
  let now = 0;
  for (const step of schedule.steps) {
    await fleet.run(step.at - now);
    now = step.at;
    run.take(step);
  }
  await fleet.run(REST_MS);
  fleet.end();
  return fleet.recorder.events;
}

class ScheduleRun {
  readonly #fleet: SessionFleet;
  readonly #parties: SessionParties;
  readonly #nodes: readonly string[];
  #changes = 0;

  constructor(fleet: SessionFleet) {
    this.#fleet = fleet;
    this.#parties = new SessionParties(fleet);
    this.#nodes = fleet.nodeIds();
  }

  /**
   * Sends a request of each organisation through each node, because a node
   * refuses the first call of an organisation (KNOWN-RED.txt).
   */
  warmUp(): void {
    for (const node of this.#nodes) {
      for (const work of WARM_UP_WORKS) {
        const request = this.#parties.prepare(work, node);
        void this.#parties.send({ caller: "a volunteer", node, request });
      }
    }
  }

  take(step: ScheduleStep): void {
    switch (step.kind) {
      case "request":
        for (let copy = 0; copy < step.burst; copy++) this.#request(step);
        return;
      case "calls":
        this.#fleet.network.callFaults.push(...step.faults);
        return;
      case "datagrams":
        return this.#disturbDatagrams(step);
      case "store":
        return this.#disturbStore(step);
      case "change":
        return this.#change(step);
      default:
        return this.#disturbNode(step);
    }
  }

  #request({ work, node, again, cut }: RequestStep): void {
    const first = this.#nodes[node]!;
    const request = this.#parties.prepare(work, first);
    const caller = `caller of ${request.identity}`;
    const { bodyBytes } = SESSION_WORKS[work];
    void this.#parties.send({
      caller,
      node: first,
      request,
      ...cut ? { arrivingBytes: Math.floor(bodyBytes / 2) } : {},
    });
    // Without a permit, a non-idempotent request that is sent again is another
    // request.
    const repeatable = request.permit !== undefined ||
      this.#parties.isIdempotent(work);
    if (!repeatable) return;
    for (const { afterMs, node: other } of again) {
      this.#fleet.clock.schedule(afterMs, () => {
        const sending = { caller, node: this.#nodes[other]!, request };
        void this.#parties.send(sending);
      });
    }
  }

  #disturbDatagrams(step: DatagramFaultStep): void {
    const { network, clock } = this.#fleet;
    network.datagramLoss = step.lostPercent / 100;
    network.datagramsDoubled = step.doubledPercent / 100;
    network.datagramDelayMs = step.delayMs;
    clock.schedule(step.forMs, () => {
      network.datagramLoss = 0;
      network.datagramsDoubled = 0;
      network.datagramDelayMs = 2;
    });
  }

  #disturbStore({ fault, forMs }: StoreFaultStep): void {
    const { store, clock } = this.#fleet;
    if (fault === "lose_answer") {
      return store.setFaults({ loseWriteAnswers: 1 });
    }
    store.setFaults(fault === "slow" ? { delayMs: 300 } : { outage: fault });
    clock.schedule(
      forMs,
      () => store.setFaults({ outage: "none", delayMs: 0 }),
    );
  }

  #disturbNode({ kind, node, forMs }: NodeFaultStep): void {
    const fleet = this.#fleet;
    const nodeId = this.#nodes[node]!;
    const server = fleet.server(nodeId);
    switch (kind) {
      case "restart":
        return fleet.restartNode(nodeId, forMs);
      case "pause":
        return fleet.node(nodeId).pause(forMs);
      case "kill_host":
        if (!fleet.node(nodeId).clock.alive || !server.clock.alive) return;
        fleet.killHost(nodeId);
        fleet.clock.schedule(forMs, () => {
          fleet.startNode(nodeId);
          fleet.startServer(nodeId);
        });
        return;
      case "slow":
        server.slowFactor = 20;
        fleet.clock.schedule(forMs, () => server.slowFactor = 1);
        return;
      default:
        if (!server.serving) return;
        if (kind === "silent_leave") this.#mute(nodeId, forMs);
        void server.leave().then(() =>
          fleet.clock.schedule(REPLACEMENT_MS, () => {
            if (!fleet.server(nodeId).clock.alive) fleet.startServer(nodeId);
          })
        );
    }
  }

  #mute(nodeId: string, forMs: number): void {
    const { network, clock } = this.#fleet;
    network.muted.add(nodeId);
    clock.schedule(forMs, () => network.muted.delete(nodeId));
  }

  #change({ nodes }: ChangeStep): void {
    for (const index of nodes) {
      const node = this.#nodes[index]!;
      const number = ++this.#changes;
      const held = this.#fleet.node(node).replica.find(CHANGED_DOCUMENT);
      void this.#parties.change({
        operator: `operator ${number}`,
        node,
        identity: `change ${number}`,
        document: CHANGED_DOCUMENT,
        content: JSON.stringify({
          ...JSON.parse(this.#fleet.document(CHANGED_DOCUMENT)),
          queueLength: 60 + number,
        }),
        expectedVersion: held?.version ?? 0,
      });
    }
  }
}
