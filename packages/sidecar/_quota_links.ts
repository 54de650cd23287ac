import type {
  QuotaGrantFrame,
  QuotaRequestFrame,
  TokenAmount,
} from "@oleanderdeck/hop";
import { BrokerLink, type SentDeposit } from "./_broker_link.ts";
import type { QuotaAccount } from "./_quota_account.ts";
import { BrokerChoice } from "./broker_choice.ts";
import type { OrganisationLimits } from "./organisation_limits.ts";
import type { Schedule } from "./quota_broker.ts";

/** Interval of regular exchanges with each broker, in milliseconds. */
const EXCHANGE_MS = 500;

/** Least interval of exchanges, for a small burst, in milliseconds. */
const MIN_EXCHANGE_MS = 50;

/** Part of a bucket that may fill between two exchanges. */
const FILLED_BUCKET_SHARE = 0.8;

/**
 * Time after which a broker gets a request although there is nothing to say, in
 * milliseconds. It is below the time within which brokers count a host.
 */
const KEEP_ALIVE_MS = 900;

/** Least time between two requests to a broker, in milliseconds. */
const MIN_REQUEST_MS = 20;

/**
 * Time after which tokens are asked for again while requests wait for them, in
 * milliseconds. A waiting request asks three times.
 */
const ASK_AGAIN_MS = 50;

/**
 * Time after a reply in which deposits are made, in milliseconds. Brokers drop
 * the deposits of hosts that they have not heard for longer.
 */
const DEPOSIT_AFTER_REPLY_MS = 1_200;

/**
 * Demand below which no tokens are asked for in advance, in requests a second.
 */
const IDLE_DEMAND = 1;

/** Options of {@linkcode QuotaLinks}. */
export interface QuotaLinksOptions {
  readonly limits: OrganisationLimits;
  readonly accounts: ReadonlyMap<string, QuotaAccount>;
  /** Sends a frame to the node of a broker. */
  readonly send: (node: string, frame: QuotaRequestFrame) => void;
  /** Returns monotonic time in milliseconds. */
  readonly now: () => number;
  readonly schedule: Schedule;
  readonly random: () => number;
}

/**
 * Requests of one host to the brokers: regular ones, which deposit what is not
 * needed and ask in advance, and others at once when a request finds no token.
 */
export class QuotaLinks {
  readonly #options: QuotaLinksOptions;
  readonly #choice = new BrokerChoice();
  readonly #links = new Map<string, BrokerLink>();
  /** Accounts with recent requests. */
  readonly #active = new Set<QuotaAccount>();
  /** Planned requests to brokers; the function cancels one. */
  readonly #planned = new Map<BrokerLink, () => void>();
  /** Brokers for which deposits are due. */
  readonly #depositsDue = new Set<BrokerLink>();
  #nextId: number;
  #cancelExchange: (() => void) | undefined;
  #isClosed = false;

  /** @param options Limits, accounts, clock and timers. */
  constructor(options: QuotaLinksOptions) {
    this.#options = options;
    const { random } = options;
    // Processes of one host that follow each other use different numbers, which
    // stay short in frames.
    this.#nextId = 1 + Math.floor(random() * 2 ** 20);
    this.#planExchange(random() * EXCHANGE_MS);
  }

  /** Orders of the brokers. */
  get choice(): BrokerChoice {
    return this.#choice;
  }

  /**
   * Records the elected nodes.
   *
   * @returns Whether the brokers have changed.
   */
  update(elected: readonly string[]): boolean {
    if (!this.#choice.update(elected)) return false;
    this.#links.forEach((_, node) => {
      if (!this.#choice.brokers.includes(node)) this.#links.delete(node);
    });
    return true;
  }

  /**
   * Returns the broker of an account: the first that replies, or the first of all
   * if none does; undefined if no broker is known.
   */
  linkOf(account: QuotaAccount): BrokerLink | undefined {
    const now = this.#options.now();
    const links = this.#choice.orderOf(account.organisation)
      .map((node) => this.#link(node));
    const link = links.find((candidate) => candidate.isResponsive(now)) ??
      links[0];
    if (link !== undefined) account.use(link);
    return link;
  }

  /** Whether no broker of an account replies. */
  isAlone(account: QuotaAccount): boolean {
    return this.linkOf(account)?.isResponsive(this.#options.now()) !== true;
  }

  /** Records that a request has arrived. */
  recordArrival(account: QuotaAccount): void {
    this.#active.add(account);
  }

  /**
   * Asks for the tokens of an account with requests that wait.
   *
   * @param isFirst Whether it has not asked for them before.
   */
  ask(account: QuotaAccount, isFirst: boolean): void {
    const link = this.linkOf(account);
    if (link === undefined) return;
    this.#plan(link, isFirst ? MIN_REQUEST_MS : ASK_AGAIN_MS);
  }

  /** Forgets an account. */
  remove(account: QuotaAccount): void {
    this.#active.delete(account);
  }

  /** Receives the reply of a broker, or its notice of pools in need. */
  receive(frame: QuotaGrantFrame, node: string): void {
    const link = this.#links.get(node);
    if (link === undefined) return;
    const { accounts, limits, now: readNow } = this.#options;
    const now = readNow();
    const request = link.recordReply(frame.id, now);
    const names = request?.names ?? limits.namesOf(frame.configurationVersion);
    request?.askers.forEach((share) => share.recordReply(request.sentAt));
    request?.deposits.forEach(({ deposit, share }) =>
      share.confirm(deposit, now)
    );
    request?.left.forEach((account) => account.confirmLeft(link));
    const needed = frame.grants.flatMap(([position, tokens]) => {
      const name = names[position];
      if (name === undefined) return [];
      if (tokens === 0) return [name];
      if (request !== undefined) {
        accounts.get(name)?.queue.share.addGrant(tokens, request.sentAt, now);
      }
      return [];
    });
    if (link.recordNeeded(needed, now)) this.#depositsDue.add(link);
  }

  /** Makes the deposits that a reply has made possible. */
  deposit(node: string): void {
    const link = this.#links.get(node);
    if (link === undefined || !this.#depositsDue.has(link)) return;
    this.#plan(link, MIN_REQUEST_MS);
  }

  /** Ends the timers. */
  close(): void {
    this.#isClosed = true;
    this.#cancelExchange?.();
    this.#planned.forEach((cancel) => cancel());
  }

  #link(node: string): BrokerLink {
    const known = this.#links.get(node);
    if (known !== undefined) return known;
    const link = new BrokerLink(node);
    this.#links.set(node, link);
    return link;
  }

  // Requests to one broker are put together while there is little time between
  // them.
  #plan(link: BrokerLink, intervalMs: number): void {
    if (this.#planned.has(link) || this.#isClosed) return;
    const { now, schedule } = this.#options;
    const delayMs = Math.max(0, link.sentAt + intervalMs - now());
    if (delayMs === 0) return this.#send(link, false);
    const cancel = schedule(() => {
      this.#planned.delete(link);
      this.#send(link, false);
    }, Math.ceil(delayMs));
    this.#planned.set(link, cancel);
  }

  #planExchange(delayMs: number): void {
    this.#cancelExchange = this.#options.schedule(() => {
      this.#exchangeAll();
      this.#planExchange(this.#exchangeIntervalMs);
    }, delayMs);
  }

  // Where the bucket of a small burst fills faster, deposits are made before it
  // is full.
  get #exchangeIntervalMs(): number {
    const now = this.#options.now();
    const fillMs = this.#choice.brokers
      .flatMap((node) => this.#link(node).needed(now))
      .map((name) =>
        this.#options.accounts.get(name)?.queue.share.fillMs ?? Infinity
      );
    const shortest = Math.min(...fillMs) * FILLED_BUCKET_SHARE;
    return Math.max(MIN_EXCHANGE_MS, Math.min(EXCHANGE_MS, shortest));
  }

  #exchangeAll(): void {
    const { limits, now: readNow } = this.#options;
    if (limits.limits.size === 0) return;
    const now = readNow();
    this.#active.forEach((account) => {
      const { queue } = account;
      const isIdle = queue.share.demandPerSecond(now) < IDLE_DEMAND;
      if (isIdle && queue.size === 0) this.#active.delete(account);
    });
    this.#choice.brokers.forEach((node) => {
      const link = this.#link(node);
      this.#depositsDue.add(link);
      this.#send(link, now - link.sentAt >= KEEP_ALIVE_MS);
    });
  }

  #send(link: BrokerLink, isKeepAlive: boolean): void {
    const { accounts, limits, now, send } = this.#options;
    const sentAt = now();
    const wants = this.#wants(link, sentAt);
    const left = [...accounts.values()]
      .filter((account) => account.isLeaving(link));
    const deposits = this.#deposits(link, sentAt);
    const isEmpty = wants.length + left.length + deposits.length === 0;
    if (isEmpty && !isKeepAlive) return;
    const id = this.#nextId++;
    const configurationVersion = limits.version;
    link.recordSent({
      id,
      sentAt,
      names: limits.namesOf(configurationVersion),
      deposits,
      left,
      askers: new Set(wants.map(({ account }) => account.queue.share)),
    });
    const frame: QuotaRequestFrame = {
      kind: "quota_request",
      id,
      configurationVersion,
      deposits: this.#amounts(
        deposits.map(({ account, deposit: { tokens } }) => ({
          account,
          tokens,
        })),
      ),
      wants: this.#amounts([
        ...wants,
        ...left.map((account) => ({ account, tokens: 0 })),
      ]),
    };
    send(link.node, frame);
  }

  #wants(
    link: BrokerLink,
    now: number,
  ): readonly { account: QuotaAccount; tokens: number }[] {
    return [...this.#active].flatMap((account) => {
      if (this.linkOf(account) !== link) return [];
      const { share, size } = account.queue;
      const tokens = share.wanted(size, now);
      if (tokens > 0) share.recordAsked(tokens, now);
      return tokens > 0 ? [{ account, tokens }] : [];
    });
  }

  #deposits(link: BrokerLink, now: number): readonly SentDeposit[] {
    if (!this.#depositsDue.has(link) || !link.isIdle) return [];
    if (now - link.repliedAt > DEPOSIT_AFTER_REPLY_MS) return [];
    this.#depositsDue.delete(link);
    return link.needed(now).flatMap((organisation) => {
      const account = this.#options.accounts.get(organisation);
      if (account === undefined || this.linkOf(account) !== link) return [];
      if (!account.mayDeposit(link, now)) return [];
      const { share } = account.queue;
      const deposit = share.deposit(now);
      if (deposit === undefined) return [];
      account.recordDeposit();
      return [{ account, share, deposit }];
    });
  }

  #amounts(
    amounts: readonly { account: QuotaAccount; tokens: number }[],
  ): readonly TokenAmount[] {
    return amounts.flatMap(({ account, tokens }) => {
      const position = this.#options.limits.positionOf(account.organisation);
      return position === undefined ? [] : [[position, tokens] as const];
    });
  }
}
