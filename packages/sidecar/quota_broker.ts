import type {
  QuotaGrantFrame,
  QuotaRequestFrame,
  TokenAmount,
} from "@oleanderdeck/hop";
import {
  type OrganisationTokens,
  SILENCE_MS,
  TokenBroker,
} from "@oleanderdeck/leases";
import type { OrganisationLimits } from "./organisation_limits.ts";
import type { FrameSink } from "./peer_state_sync.ts";

/** Time in which pools that need deposits are named together, in milliseconds. */
const NEED_BATCH_MS = 20;

/**
 * Least time between two lists of all pools that need deposits for one host, in
 * milliseconds. It is a little below the interval of exchanges.
 */
const NEED_LIST_MS = 400;

/** Number of a frame that answers no request. */
const UNREQUESTED_ID = 0;

/** Starts a timer; returns a function that cancels it. */
export type Schedule = (callback: () => void, delayMs: number) => () => void;

/** Options of {@linkcode QuotaBroker}. */
export interface QuotaBrokerOptions {
  readonly limits: OrganisationLimits;
  /** Returns the number of hosts that share the limits. */
  readonly hosts: () => number;
  /** Returns monotonic time in milliseconds. */
  readonly now: () => number;
  readonly schedule: Schedule;
}

interface KnownHost {
  readonly sink: FrameSink;
  readonly heardAt: number;
  readonly listedAt: number;
}

/** Answers the requests of hosts for tokens with the pools of this node. */
export class QuotaBroker {
  readonly #options: QuotaBrokerOptions;
  readonly #broker: TokenBroker;
  readonly #hosts = new Map<string, KnownHost>();
  readonly #newlyNeeded = new Set<string>();
  #cancelNotice: (() => void) | undefined;
  #grantedTokens = 0;
  #depositedTokens = 0;

  /** @param options Limits, hosts, clock and timers. */
  constructor(options: QuotaBrokerOptions) {
    this.#options = options;
    this.#broker = new TokenBroker({
      limitOf: (organisation) => options.limits.limits.get(organisation),
      hosts: options.hosts,
      onNeeded: (organisation) => this.#onNeeded(organisation),
    });
  }

  /** Tokens granted since the start. */
  get grantedTokens(): number {
    return this.#grantedTokens;
  }

  /** Tokens that were received as deposits since the start. */
  get depositedTokens(): number {
    return this.#depositedTokens;
  }

  /** Tokens in all pools. */
  get tokens(): number {
    const now = this.#options.now();
    return [...this.#options.limits.limits.keys()]
      .reduce((sum, name) => sum + this.#broker.tokens(name, now), 0);
  }

  /** Creates the pools that this node is the broker of. */
  open(organisations: readonly string[]): void {
    this.#broker.open(organisations);
  }

  /** Applies changed limits. */
  applyLimits(): void {
    this.#broker.applyLimits();
  }

  /** Drops all tokens, because the process was suspended. */
  reset(): void {
    this.#broker.reset();
  }

  /**
   * Answers a request.
   *
   * @param host Node that sent it.
   * @param sink Receives the reply, and notices of pools that need deposits.
   */
  receive(host: string, frame: QuotaRequestFrame, sink: FrameSink): void {
    const now = this.#options.now();
    const { configurationVersion, deposits, id, wants } = frame;
    // Deposits of a version that this node doesn't know are lost.
    const names = this.#options.limits.namesOf(configurationVersion);
    const request = {
      id,
      deposits: withNames(deposits, names),
      wants: withNames(wants, names),
    };
    this.#depositedTokens += sumOf(request.deposits);
    const granted = this.#broker.exchange(host, request, now);
    this.#grantedTokens += sumOf(granted);
    const listedAt = this.#hosts.get(host)?.listedAt ?? -Infinity;
    const isListDue = now - listedAt >= NEED_LIST_MS;
    this.#hosts.set(host, {
      sink,
      heardAt: now,
      listedAt: isListDue ? now : listedAt,
    });
    sink.send({
      kind: "quota_grant",
      id,
      configurationVersion,
      grants: [
        ...this.#amounts(granted, configurationVersion),
        ...(isListDue
          ? this.#needs(this.#broker.needed, configurationVersion)
          : []),
      ],
    });
  }

  /** Ends the timers. */
  close(): void {
    this.#cancelNotice?.();
  }

  #needs(
    organisations: Iterable<string>,
    version: number,
  ): readonly TokenAmount[] {
    const needs = [...organisations].map((organisation) => ({
      organisation,
      tokens: 0,
    }));
    return this.#amounts(needs, version);
  }

  #amounts(
    amounts: readonly OrganisationTokens[],
    version: number,
  ): readonly TokenAmount[] {
    return amounts.flatMap(({ organisation, tokens }) => {
      const position = this.#options.limits.positionOf(organisation, version);
      return position === undefined ? [] : [[position, tokens] as const];
    });
  }

  #onNeeded(organisation: string): void {
    this.#newlyNeeded.add(organisation);
    this.#cancelNotice ??= this.#options.schedule(
      () => this.#notify(),
      NEED_BATCH_MS,
    );
  }

  #notify(): void {
    this.#cancelNotice = undefined;
    const { limits, now } = this.#options;
    const frame: QuotaGrantFrame = {
      kind: "quota_grant",
      id: UNREQUESTED_ID,
      configurationVersion: limits.version,
      grants: this.#needs(this.#newlyNeeded, limits.version),
    };
    this.#newlyNeeded.clear();
    const since = now() - SILENCE_MS;
    this.#hosts.forEach(({ sink, heardAt }, host) => {
      if (heardAt < since) this.#hosts.delete(host);
      else sink.send(frame);
    });
  }
}

function withNames(
  amounts: readonly TokenAmount[],
  names: readonly string[],
): readonly OrganisationTokens[] {
  return amounts.flatMap(([position, tokens]) => {
    const organisation = names[position];
    return organisation === undefined ? [] : [{ organisation, tokens }];
  });
}

function sumOf(amounts: readonly OrganisationTokens[]): number {
  return amounts.reduce((sum, { tokens }) => sum + tokens, 0);
}
