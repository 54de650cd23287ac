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

/** Options of {@linkcode StandaloneCallServer}. */
export interface StandaloneCallServerOptions {
  readonly policy: PolicyView;
  readonly admission: AdmissionControl;
  /** Node id; `node-1` if absent. */
  readonly nodeId?: string;
  /** Incarnation of the node; 1 if absent. */
  readonly incarnation?: bigint;
  /** Call server options that replace the default ones. */
  readonly parts?: Partial<CallServerOptions>;
}

/** Call servers of one process that find each other, by node id. */
export type CallServerDirectory = Map<string, StandaloneCallServer>;

/**
 * Call server with real ledgers and a given admission control, without the other
 * parts of a node. Call servers of one directory find each other as members.
 */
export class StandaloneCallServer {
  /** The call server. */
  readonly callServer: CallServer;
  /** Member record of this node. */
  readonly member: Member;
  /** Ledger of the permits of non-idempotent requests. */
  readonly permitLedger: PermitLedger;
  /** Ledger of the retries that callers lent to this node. */
  readonly allowanceLedger: AllowanceLedger;
  /** Registration of the backend server beside the node. */
  readonly registration: BackendServerRegistration;

  /**
   * @param options Policy, admission control and identity.
   * @param directory Call servers that find each other; this one is added.
   */
  constructor(
    options: StandaloneCallServerOptions,
    directory: CallServerDirectory = new Map(),
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
    this.permitLedger = new PermitLedger({ nodeId, incarnation, clock });
    this.allowanceLedger = new AllowanceLedger(clock);
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
      permitLedger: this.permitLedger,
      allowanceLedger: this.allowanceLedger,
      retryPolicy: new ChainRetryPolicy(this.allowanceLedger, Math.random),
      retryBudget: new RetryBudget(clock),
      allowanceSettlement: new DirectorySettlement(directory),
      registration: this.registration,
      metrics: new StatsdMetrics({ tags: {} }),
      log: new EventLog({ level: "error" }),
      clock,
      ...options.parts,
    });
  }

  /**
   * Starts listening on a free loopback port.
   *
   * @returns Address as host:port.
   */
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

/** Settles loans by a direct call to the borrower's ledger in the same process. */
class DirectorySettlement extends AllowanceSettlement {
  readonly #directory: CallServerDirectory;

  constructor(directory: CallServerDirectory) {
    super();
    this.#directory = directory;
  }

  settle(loan: Loan): Promise<number> {
    const audience = this.#directory.get(loan.nodeId);
    return Promise.resolve(audience?.allowanceLedger.close(loan.callId) ?? 0);
  }
}
