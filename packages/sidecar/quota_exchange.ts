import type {
  QuotaClaim,
  QuotaRequest,
  RequestQuota,
} from "@oleanderdeck/calling";
import type { Configuration } from "@oleanderdeck/directory";
import type { QuotaGrantFrame, QuotaRequestFrame } from "@oleanderdeck/hop";
import { type HostShare, TokenShare } from "@oleanderdeck/leases";
import { QuotaAccount } from "./_quota_account.ts";
import { QuotaLinks } from "./_quota_links.ts";
import type { QueuedClaim } from "./_quota_queue.ts";
import { OrganisationLimits } from "./organisation_limits.ts";
import type { FrameSink } from "./peer_state_sync.ts";
import { QuotaBroker, type Schedule } from "./quota_broker.ts";

/** Retry delay at a node that is closed, in milliseconds. */
const CLOSED_RETRY_MS = 1_000;

/**
 * Difference between the steady and the wall clock that shows that the process
 * was suspended, in milliseconds.
 */
const CLOCK_CHANGE_MS = 50;

/** Least time between two reports of refusals of one organisation. */
const REPORT_MS = 1_000;

/** Requests of an organisation that were refused for its limit. */
export interface QuotaRefusals {
  readonly organisation: string;
  /** Number of them since the last report. */
  readonly refused: number;
  readonly retryAfterMs: number;
  /** Whether no broker replies, so that this host has its own share only. */
  readonly isAlone: boolean;
}

/** Options of {@linkcode QuotaExchange}. */
export interface QuotaExchangeOptions {
  /** Name of this node. */
  readonly node: string;
  /** Returns the names of the elected nodes, in their order. */
  readonly elected: () => readonly string[];
  /** Share of the limits that this host accrues. */
  readonly hostShare: HostShare;
  /** Sends a frame to the node of a broker, if its link is open. */
  readonly send: (node: string, frame: QuotaRequestFrame) => void;
  /** Returns monotonic time in milliseconds. */
  readonly now: () => number;
  /** Returns wall-clock time in milliseconds. */
  readonly wallNow: () => number;
  readonly schedule: Schedule;
  readonly random: () => number;
  /** Called at most once a second for each organisation. */
  readonly onRefused?: (refusals: QuotaRefusals) => void;
}

/**
 * Limits of organisations over all hosts, for requests that arrive unevenly: it
 * gives requests tokens of this host's share, deposits at the brokers what is
 * not needed and asks them for what is missing. Has no sockets, and no timers but
 * the given ones.
 */
export class QuotaExchange implements RequestQuota {
  readonly #options: QuotaExchangeOptions;
  readonly #limits = new OrganisationLimits();
  readonly #broker: QuotaBroker;
  readonly #links: QuotaLinks;
  readonly #accounts = new Map<string, QuotaAccount>();
  /** Accounts with requests that wait. */
  readonly #waiting = new Set<QuotaAccount>();
  /** Names of the nodes behind links that others have opened. */
  readonly #peers = new WeakMap<FrameSink, string>();
  #clockOffset: number;
  /** Time at which the share of this host was last computed. */
  #shareAt = 0;
  #cancelWake: (() => void) | undefined;
  #isClosed = false;

  /** @param options Node, brokers, clocks and timers. */
  constructor(options: QuotaExchangeOptions) {
    this.#options = options;
    const { hostShare, now, random, schedule } = options;
    this.#clockOffset = this.#readClockOffset();
    this.#broker = new QuotaBroker({
      limits: this.#limits,
      hosts: () => hostShare.hosts,
      now,
      schedule,
    });
    this.#links = new QuotaLinks({
      limits: this.#limits,
      accounts: this.#accounts,
      now,
      schedule,
      random,
      send: (node, frame) => this.#send(node, frame),
    });
  }

  /** Pools of which this node is the broker. */
  get broker(): QuotaBroker {
    return this.#broker;
  }

  /** Share of the limits that this host accrues, 0 to 1. */
  get accrual(): number {
    const { hostShare, now } = this.#options;
    return hostShare.accrual(now());
  }

  /** Tokens that this host holds for its requests. */
  get tokens(): number {
    const now = this.#options.now();
    return [...this.#accounts.values()]
      .reduce((sum, { queue }) => sum + queue.share.tokens(now), 0);
  }

  /**
   * Returns the tokens of an organisation that this host holds; undefined if the
   * organisation has no limit.
   */
  tokensOf(organisation: string): number | undefined {
    const now = this.#options.now();
    return this.#accounts.get(organisation)?.queue.share.tokens(now);
  }

  /** Number of organisations with requests that wait for a token. */
  get shortOrganisations(): number {
    return this.#waiting.size;
  }

  /** Applies the limits of a configuration. */
  applyConfiguration(configuration: Configuration): void {
    this.#limits.apply(configuration);
    this.#broker.applyLimits();
    const { limits } = this.#limits;
    this.#accounts.forEach((account, organisation) => {
      if (!limits.has(organisation)) this.#remove(account);
    });
    limits.forEach((limit, organisation) => {
      if (this.#accounts.has(organisation)) return;
      const { now, random } = this.#options;
      const share = new TokenShare(limit, now(), random);
      this.#accounts.set(
        organisation,
        new QuotaAccount(organisation, share, now()),
      );
    });
    this.#applyShare();
    this.#openPools();
  }

  /**
   * Records the number of hosts and the elected nodes; called several times a
   * second.
   *
   * @param hosts Number of hosts that have a record.
   * @param hasOwnRecord Whether this host is one of them.
   */
  update(hosts: number, hasOwnRecord: boolean): void {
    this.#checkClocks();
    const { elected, hostShare, now } = this.#options;
    const before = hostShare.accrual(this.#shareAt);
    this.#shareAt = now();
    hostShare.update(hosts, hasOwnRecord, this.#shareAt);
    if (hostShare.accrual(this.#shareAt) !== before) this.#applyShare();
    if (this.#links.update(elected())) this.#openPools();
  }

  acquire(request: QuotaRequest): QuotaClaim {
    const account = this.#accounts.get(request.organisation);
    if (account === undefined) {
      const claim: QuotaClaim = { release: () => undefined };
      const isGranted = !this.#isClosed;
      request.decide({ isGranted, retryAfterMs: CLOSED_RETRY_MS }, claim);
      return claim;
    }
    this.#checkClocks();
    const now = this.#options.now();
    const { queue } = account;
    const claim = queue.open(request, now);
    claim.release = () => this.#release(account, claim);
    this.#links.recordArrival(account);
    if (queue.tryTake(claim, now)) this.#grant(claim);
    else if (queue.hasRoom && this.#mayBeServed(account, claim, now)) {
      queue.add(claim);
      this.#waiting.add(account);
      this.#links.ask(account, queue.size === 1);
      this.#planWake();
    } else this.#refuse(account, claim);
    return claim;
  }

  /** Records the node behind a link that it has opened. */
  identify(peer: FrameSink, node: string): void {
    this.#peers.set(peer, node);
  }

  /** Answers a request, as a broker. */
  receiveRequest(frame: QuotaRequestFrame, peer: FrameSink): void {
    const host = this.#peers.get(peer);
    if (host === undefined) return;
    this.#checkClocks();
    this.#broker.receive(host, frame, peer);
  }

  /** Receives the reply of a broker, or its notice of pools in need. */
  receiveGrant(frame: QuotaGrantFrame, node: string): void {
    this.#checkClocks();
    this.#links.receive(frame, node);
    this.#serve();
    this.#links.deposit(node);
  }

  /** Ends the timers and refuses the requests that wait. */
  close(): void {
    this.#isClosed = true;
    this.#cancelWake?.();
    this.#links.close();
    this.#broker.close();
    this.#accounts.forEach((account) => this.#remove(account));
  }

  #readClockOffset(): number {
    return this.#options.wallNow() - this.#options.now();
  }

  // While a process is suspended its steady clock stands still, so the ages of
  // grants and deposits are not known any more.
  #checkClocks(): void {
    const offset = this.#readClockOffset();
    const change = Math.abs(offset - this.#clockOffset);
    this.#clockOffset = offset;
    if (change <= CLOCK_CHANGE_MS) return;
    this.#broker.reset();
    this.#accounts.forEach(({ queue }) => queue.share.dropGrants());
  }

  #applyShare(): void {
    const { hostShare, now } = this.#options;
    const share = hostShare.accrual(now());
    this.#accounts.forEach(({ organisation, queue }) => {
      const limit = this.#limits.limits.get(organisation);
      if (limit !== undefined) queue.share.update(limit, share, now());
    });
  }

  #openPools(): void {
    const { node } = this.#options;
    const { choice } = this.#links;
    if (!choice.brokers.includes(node)) return;
    const own = [...this.#limits.limits.keys()].filter((organisation) =>
      choice.orderOf(organisation)[0] === node
    );
    this.#broker.open(own);
  }

  #remove(account: QuotaAccount): void {
    this.#accounts.delete(account.organisation);
    this.#links.remove(account);
    this.#waiting.delete(account);
    account.queue.takeExpired(Infinity).forEach((claim) =>
      this.#isClosed ? this.#refuse(account, claim) : this.#grant(claim)
    );
  }

  #mayBeServed(
    account: QuotaAccount,
    { deadline }: QueuedClaim,
    now: number,
  ): boolean {
    return !this.#links.isAlone(account) ||
      now + account.queue.share.msUntilToken(now) < deadline;
  }

  #grant(claim: QueuedClaim): void {
    claim.request.decide({ isGranted: true, retryAfterMs: 0 }, claim);
  }

  #refuse(account: QuotaAccount, claim: QueuedClaim): void {
    const now = this.#options.now();
    const { queue } = account;
    const retryAfterMs = queue.retryAfterMs(now);
    queue.refused++;
    if (now - queue.reportedAt >= REPORT_MS) {
      this.#options.onRefused?.({
        organisation: account.organisation,
        refused: queue.refused,
        retryAfterMs,
        isAlone: this.#links.isAlone(account),
      });
      queue.reportedAt = now;
      queue.refused = 0;
    }
    claim.request.decide({ isGranted: false, retryAfterMs }, claim);
  }

  #release(account: QuotaAccount, claim: QueuedClaim): void {
    const { token } = claim;
    account.queue.remove(claim);
    if (token === undefined) return;
    claim.token = undefined;
    account.queue.share.giveBack(token, this.#options.now());
    this.#serve();
  }

  // Gives tokens to the requests that wait, and refuses those that waited long.
  #serve(): void {
    const now = this.#options.now();
    this.#waiting.forEach((account) => {
      const { queue } = account;
      queue.takeServed(now).forEach((claim) => this.#grant(claim));
      queue.takeExpired(now).forEach((claim) => this.#refuse(account, claim));
      if (queue.size === 0) this.#waiting.delete(account);
      else this.#links.ask(account, false);
    });
    this.#planWake();
  }

  #planWake(): void {
    this.#cancelWake?.();
    this.#cancelWake = undefined;
    if (this.#waiting.size === 0) return;
    const { now, schedule } = this.#options;
    const at = now();
    const delays = [...this.#waiting].map(({ queue }) =>
      Math.min(queue.nextDeadline - at, queue.share.msUntilToken(at))
    );
    this.#cancelWake = schedule(
      () => this.#serve(),
      Math.max(1, Math.ceil(Math.min(...delays))),
    );
  }

  // A node that is the broker answers itself.
  #send(broker: string, frame: QuotaRequestFrame): void {
    const { node, send } = this.#options;
    if (broker !== node) return send(broker, frame);
    this.#broker.receive(node, frame, {
      send: (reply) =>
        reply.kind === "quota_grant" && this.receiveGrant(reply, node),
    });
  }
}
