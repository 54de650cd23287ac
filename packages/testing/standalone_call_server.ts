import { create } from "@bufbuild/protobuf";
import type { AdmissionControl } from "@oleanderdeck/admission";
import type { PolicyView } from "@oleanderdeck/agreement";
import {
  BackendServerRegistration,
  CallServer,
  type CallServerOptions,
} from "@oleanderdeck/calls";
import { PermitLedger } from "@oleanderdeck/idempotency";
import { PeerKeys } from "@oleanderdeck/membership";
import { EventLog, StatsdMetrics } from "@oleanderdeck/observability";
import { type Member, MemberSchema, MemberState } from "@oleanderdeck/protocol";
import {
  AllowanceLedger,
  AllowanceSettlement,
  ChainRetryPolicy,
  type Loan,
  RetryBudget,
} from "@oleanderdeck/retries";
import { SystemClock } from "@oleanderdeck/settings";

/** Options of {@linkcode StandaloneEdge}. */
export interface StandaloneEdgeOptions {
  readonly policy: PolicyView;
  readonly admission: AdmissionControl;
  /** `node-1` if absent. */
  readonly nodeId?: string;
  /** 1 if absent. */
  readonly incarnation?: bigint;
  /** Parts that replace the default ones. */
  readonly parts?: Partial<CallServerOptions>;
}

/** Nodes that edges of one process know, by id. */
export type EdgeDirectory = Map<string, StandaloneEdge>;

/**
 * A call server with real ledgers and a given admission, without the rest of a
 * node. Edges of one directory find each other as members.
 */
export class StandaloneEdge {
  /** The call server. */
  readonly callServer: CallServer;
  /** The node's own record. */
  readonly member: Member;
  /** Ledger of non-idempotent requests. */
  readonly ledger: PermitLedger;
  /** Retries lent to this node. */
  readonly allowances: AllowanceLedger;
  /** Backend server beside the node. */
  readonly registration: BackendServerRegistration;

  /**
   * @param options Policy, admission and identity.
   * @param directory All edges that know each other.
   */
  constructor(
    options: StandaloneEdgeOptions,
    directory: EdgeDirectory = new Map(),
  ) {
    const nodeId = options.nodeId ?? "node-1";
    const incarnation = options.incarnation ?? 1n;
    const clock = new SystemClock();
    this.member = create(MemberSchema, {
      nodeId,
      incarnation,
      state: MemberState.ALIVE,
    });
    directory.set(nodeId, this);
    this.ledger = new PermitLedger({ nodeId, incarnation, clock });
    this.allowances = new AllowanceLedger(clock);
    this.registration = new BackendServerRegistration({
      clock,
      lowestFence: () => `${incarnation}.0`,
      onChange: () => {},
    });
    this.callServer = new CallServer({
      policy: () => options.policy,
      admission: options.admission,
      keys: new PeerKeys(["stand-in key"]),
      members: {
        self: () => this.member,
        find: (id) => directory.get(id)?.member,
      },
      ledger: this.ledger,
      allowances: this.allowances,
      retryPolicy: new ChainRetryPolicy(this.allowances, Math.random),
      retryBudget: new RetryBudget(clock),
      settlement: new DirectorySettlement(directory),
      registration: this.registration,
      metrics: new StatsdMetrics({ tags: {} }),
      log: new EventLog({ level: "error" }),
      clock,
      ...options.parts,
    });
  }

  /** Listens on a loopback port and returns the address. */
  async start(): Promise<string> {
    const address = await this.callServer.listen("127.0.0.1", 0);
    this.member.callAddress = address;
    return address;
  }

  /** Stops gracefully. */
  async close(): Promise<void> {
    await this.callServer.close();
    this.registration.close();
  }
}

class DirectorySettlement extends AllowanceSettlement {
  readonly #directory: EdgeDirectory;

  constructor(directory: EdgeDirectory) {
    super();
    this.#directory = directory;
  }

  settle(loan: Loan): Promise<number> {
    const audience = this.#directory.get(loan.nodeId);
    return Promise.resolve(audience?.allowances.close(loan.callId) ?? 0);
  }
}
