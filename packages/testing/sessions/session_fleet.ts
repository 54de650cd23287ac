import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { parse } from "jsonc-parser";
import { Left, Right } from "purify-ts";
import {
  type CompiledPolicy,
  compilePolicy,
  type PolicyDocument,
} from "@oleanderdeck/agreement";
import {
  DocumentPeer,
  type DocumentRequest,
  selectNewerDocuments,
} from "@oleanderdeck/configuration";
import { DeckError } from "@oleanderdeck/errors";
import type { Member } from "@oleanderdeck/protocol";
import { AllowanceSettlement, type Loan } from "@oleanderdeck/retries";
import { RecordingStore } from "./recording_store.ts";
import { SessionNetwork } from "./session_network.ts";
import {
  SessionNode,
  type SessionNodeDependencies,
  type SessionNodeVariant,
} from "./session_node.ts";
import { SessionRecorder } from "./session_recorder.ts";
import { SessionServer, type SessionServerOptions } from "./session_server.ts";
import { VirtualClock } from "@oleanderdeck/settings";

/** A host with a node and a backend server. */
export interface SessionHost {
  readonly nodeId: string;
  readonly dataCentre: string;
  readonly server: SessionServerOptions;
}

/** Options of {@linkcode SessionFleet}. */
export interface SessionFleetOptions {
  /** Directory below `examples/` whose documents are loaded. */
  readonly deployment: "lunchtable" | "bandcraft";
  readonly hosts: readonly SessionHost[];
  readonly seed: number;
  /** Whether organisations have no call limit; `false` by default. */
  readonly unlimited?: boolean;
  /** Faulty components, for tests of the invariants. */
  readonly variant?: SessionNodeVariant;
}

/** Time until all nodes are ready and grant leases, in milliseconds. */
const START_MS = 3_000;

/** Nodes, backend servers and store of one recorded session. */
export class SessionFleet {
  readonly clock = new VirtualClock();
  readonly recorder = new SessionRecorder(this.clock);
  readonly network: SessionNetwork;
  readonly store = new RecordingStore(this.clock, this.recorder);
  /** Compiled policy of the documents at the start of the session. */
  readonly policy: CompiledPolicy;
  readonly #options: SessionFleetOptions;
  readonly #documents: readonly PolicyDocument[];
  readonly #nodes = new Map<string, SessionNode>();
  readonly #servers = new Map<string, SessionServer>();
  #incarnations = 0;

  /** @param options Deployment, hosts and seed. */
  constructor(options: SessionFleetOptions) {
    this.#options = options;
    this.network = new SessionNetwork(this.clock, options.seed);
    this.#documents = readDocuments(options);
    this.policy = compilePolicy(this.#documents);
  }

  /** Starts all nodes and servers and waits until they serve. */
  async start(): Promise<void> {
    for (const { name, content } of this.#documents) {
      await this.store.seed(name, content);
    }
    for (const { nodeId } of this.#options.hosts) {
      this.startNode(nodeId);
      this.startServer(nodeId);
    }
    await this.clock.advance(START_MS);
  }

  /** Ids of the nodes of all hosts. */
  nodeIds(): readonly string[] {
    return this.#options.hosts.map(({ nodeId }) => nodeId);
  }

  /** Latest incarnation of a node, which may have been killed. */
  node(nodeId: string): SessionNode {
    return this.#nodes.get(nodeId)!;
  }

  /** Latest backend server on the host of a node; it may have ended. */
  server(nodeId: string): SessionServer {
    return this.#servers.get(nodeId)!;
  }

  /** Starts a new incarnation of a node, which has no state in memory. */
  startNode(nodeId: string): void {
    const host = this.#host(nodeId);
    const incarnation = BigInt(++this.#incarnations);
    const dependencies = this.#dependencies(host.dataCentre);
    const node = new SessionNode({ ...host, incarnation }, dependencies);
    this.#nodes.set(nodeId, node);
  }

  /** Starts the backend server on the host of a node. */
  startServer(nodeId: string): void {
    const { dataCentre, server } = this.#host(nodeId);
    const name = `${server.service} server at ${nodeId}`;
    this.#servers.set(
      nodeId,
      new SessionServer({ name, dataCentre }, server, {
        clock: this.clock,
        recorder: this.recorder,
        node: () => this.node(nodeId),
      }),
    );
  }

  /** Kills a node and starts it again after a delay in milliseconds. */
  restartNode(nodeId: string, afterMs: number): void {
    const node = this.node(nodeId);
    if (!node.clock.alive) return;
    node.kill();
    this.clock.schedule(afterMs, () => this.startNode(nodeId));
  }

  /** Kills the node and the backend server of a host. */
  killHost(nodeId: string): void {
    this.server(nodeId).kill();
    this.node(nodeId).kill();
  }

  /** Content of a document at the start of the session, as JSON. */
  document(name: string): string {
    return this.#documents.find((each) => each.name === name)!.content;
  }

  /** Advances the session by a duration in milliseconds. */
  run(milliseconds: number): Promise<void> {
    return this.clock.advance(milliseconds);
  }

  /** Records the end of the session. */
  end(): void {
    this.recorder.record({ kind: "session_ended" });
  }

  #host(nodeId: string): SessionHost {
    return this.#options.hosts.find((host) => host.nodeId === nodeId)!;
  }

  #dependencies(dataCentre: string): SessionNodeDependencies {
    return {
      clock: this.clock,
      recorder: this.recorder,
      network: this.network,
      store: this.store,
      documents: new FleetDocuments(this, dataCentre),
      settlement: new FleetSettlement(this, dataCentre),
      variant: this.#options.variant ?? {},
      seed: this.#options.seed,
      findNode: (nodeId) => this.#nodes.get(nodeId),
      findServer: (nodeId) => this.#servers.get(nodeId),
    };
  }
}

class FleetDocuments extends DocumentPeer {
  readonly #fleet: SessionFleet;
  readonly #dataCentre: string;

  constructor(fleet: SessionFleet, dataCentre: string) {
    super();
    this.#fleet = fleet;
    this.#dataCentre = dataCentre;
  }

  override async fetch(member: Member, request: DocumentRequest) {
    const node = this.#fleet.node(member.nodeId);
    const reply = await this.#fleet.network.peerCall(
      this.#dataCentre,
      node,
      () => Promise.resolve(node.replica),
    );
    if (reply.state !== "answered") {
      return Left(new DeckError("connection_refused"));
    }
    return reply.answer.isReady()
      ? Right(selectNewerDocuments(reply.answer, request))
      : Left(new DeckError("not_ready"));
  }
}

class FleetSettlement extends AllowanceSettlement {
  readonly #fleet: SessionFleet;
  readonly #dataCentre: string;

  constructor(fleet: SessionFleet, dataCentre: string) {
    super();
    this.#fleet = fleet;
    this.#dataCentre = dataCentre;
  }

  override async settle(loan: Loan): Promise<number> {
    const node = this.#fleet.node(loan.nodeId);
    const { clock, network } = this.#fleet;
    const reply = await Promise.race([
      network.call(this.#dataCentre, node, () =>
        Promise.resolve(
          node.incarnation === loan.incarnation
            ? node.allowances.close(loan.callId)
            : 0,
        )),
      clock.sleep(SETTLEMENT_MS),
    ]);
    return reply?.state === "answered" ? reply.answer : 0;
  }
}

/** Time to wait for the settlement of lent retries, in milliseconds. */
const SETTLEMENT_MS = 1_000;

function readDocuments(
  { deployment, unlimited }: SessionFleetOptions,
): readonly PolicyDocument[] {
  const directory = join("examples", deployment, "documents");
  return readdirSync(directory).sort().map((file, index) => {
    const [kind, subject] = file.split(".");
    const document = parse(readFileSync(join(directory, file), "utf8"));
    if (unlimited === true) delete document.callsPerSecond;
    return {
      name: `${kind}/${subject}`,
      version: index + 1,
      content: JSON.stringify(document),
      deleted: false,
    };
  });
}
