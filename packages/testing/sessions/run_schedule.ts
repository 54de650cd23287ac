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
import { SessionFleet, type SessionHost } from "./session_fleet.ts";
import type { SessionNodeVariant } from "./session_node.ts";
import { SessionClients } from "./session_clients.ts";
import { REQUEST_TEMPLATES } from "./request_templates.ts";

/** Document that is changed by the operators of a schedule. */
const CHANGED_DOCUMENT = "policy/members";

/**
 * Time after the last step, in milliseconds. It is long enough for the longest
 * request, the longest fault and the limit of 8 s for changes.
 */
const COOL_DOWN_MS = 16_000;

/** Time for the warm-up requests, in milliseconds. */
const WARM_UP_MS = 500;

/** Names of one request template for each organisation. */
const WARM_UP_REQUESTS = ["club list", "member list", "office list"] as const;

/** Time between the end of a leaving server and the next start, in ms. */
const REPLACEMENT_MS = 1_000;

function host(
  nodeId: string,
  service: string,
  calls: readonly string[],
): SessionHost {
  return {
    nodeId,
    dataCentre: nodeId.slice(0, 4),
    server: { service, slots: 4, durationMs: 40, calls },
  };
}

const HOSTS: readonly SessionHost[] = [
  host("wa-a-1", "bookings", ["members"]),
  host("wa-a-2", "members", []),
  host("wa-a-3", "uploads", ["members"]),
  host("wa-b-1", "bookings", ["members"]),
  host("wa-b-2", "members", []),
  host("wa-b-3", "uploads", ["members"]),
];

/**
 * Runs a schedule of faults against real components and records the session.
 *
 * @param schedule Seed and steps.
 * @param variant Faulty components, for tests of the soak itself.
 * @returns The events of the session.
 */
export async function runSchedule(
  schedule: FaultSchedule,
  variant: SessionNodeVariant = {},
): Promise<readonly SessionEvent[]> {
  const fleet = new SessionFleet({
    deployment: "lunchtable",
    hosts: HOSTS,
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
    run.apply(step);
  }
  await fleet.run(COOL_DOWN_MS);
  fleet.end();
  return fleet.recorder.events;
}

class ScheduleRun {
  readonly #fleet: SessionFleet;
  readonly #clients: SessionClients;
  readonly #nodes: readonly string[];
  #changes = 0;

  constructor(fleet: SessionFleet) {
    this.#fleet = fleet;
    this.#clients = new SessionClients(fleet);
    this.#nodes = fleet.nodeIds();
  }

  /**
   * Sends a request of each organisation through each node, because a node
   * refuses the first call of an organisation (KNOWN-RED.txt).
   */
  warmUp(): void {
    for (const node of this.#nodes) {
      for (const work of WARM_UP_REQUESTS) {
        const request = this.#clients.prepare(work, node);
        void this.#clients.send({ caller: "a volunteer", node, request });
      }
    }
  }

  apply(step: ScheduleStep): void {
    switch (step.kind) {
      case "request":
        for (let copy = 0; copy < step.burst; copy++) this.#sendRequest(step);
        return;
      case "calls":
        this.#fleet.network.callFaults.push(...step.faults);
        return;
      case "datagrams":
        return this.#applyDatagramFault(step);
      case "store":
        return this.#applyStoreFault(step);
      case "change":
        return this.#requestChanges(step);
      default:
        return this.#applyNodeFault(step);
    }
  }

  #sendRequest({ work, node, again, cut }: RequestStep): void {
    const first = this.#nodes[node]!;
    const request = this.#clients.prepare(work, first);
    const caller = `caller of ${request.identity}`;
    const { bodyBytes } = REQUEST_TEMPLATES[work];
    void this.#clients.send({
      caller,
      node: first,
      request,
      ...cut ? { arrivingBytes: Math.floor(bodyBytes / 2) } : {},
    });
    // A non-idempotent request without a permit cannot be recognised when it is
    // sent again, so it would count as another request.
    const mayBeSentAgain = request.permit !== undefined ||
      this.#clients.isIdempotent(work);
    if (!mayBeSentAgain) return;
    for (const { afterMs, node: other } of again) {
      this.#fleet.clock.schedule(afterMs, () => {
        const sending = { caller, node: this.#nodes[other]!, request };
        void this.#clients.send(sending);
      });
    }
  }

  #applyDatagramFault(step: DatagramFaultStep): void {
    const { network, clock } = this.#fleet;
    network.datagramLoss = step.lostPercent / 100;
    network.datagramDuplication = step.doubledPercent / 100;
    network.datagramDelayMs = step.delayMs;
    clock.schedule(step.forMs, () => {
      network.datagramLoss = 0;
      network.datagramDuplication = 0;
      network.datagramDelayMs = 2;
    });
  }

  #applyStoreFault({ fault, forMs }: StoreFaultStep): void {
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

  #applyNodeFault({ kind, node, forMs }: NodeFaultStep): void {
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
        if (kind === "silent_leave") this.#isolate(nodeId, forMs);
        void server.leave().then(() =>
          fleet.clock.schedule(REPLACEMENT_MS, () => {
            if (!fleet.server(nodeId).clock.alive) fleet.startServer(nodeId);
          })
        );
    }
  }

  #isolate(nodeId: string, forMs: number): void {
    const { network, clock } = this.#fleet;
    network.isolatedNodes.add(nodeId);
    clock.schedule(forMs, () => network.isolatedNodes.delete(nodeId));
  }

  #requestChanges({ nodes }: ChangeStep): void {
    for (const index of nodes) {
      const node = this.#nodes[index]!;
      const number = ++this.#changes;
      const held = this.#fleet.node(node).replica.find(CHANGED_DOCUMENT);
      void this.#clients.change({
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
