import { uniformInt } from "pure-rand/distribution/uniformInt";
import type { Datagram, Member } from "@oleanderdeck/protocol";
import type { AntiEntropy } from "./_anti_entropy.ts";
import { ByteBudget, type ByteBudgetOptions } from "./_byte_budget.ts";
import { isPeer, type MembershipContext } from "./_context.ts";
import { encodeMember, isClaim } from "./_member_record.ts";
import type { Prober } from "./_prober.ts";

/** Greatest random delay of the first contact. */
const START_JITTER_MS = 1000;

/** Seeds that are asked in one attempt. */
const SEEDS_PER_ATTEMPT = 2;

const SEED_TIMEOUT_MS = 500;
const FIRST_BACKOFF_MS = 500;
const MAXIMUM_BACKOFF_MS = 10_000;

/** Interval at which a member considers asking a seed again. */
const SEED_INTERVAL_MS = 10_000;

/** Members of the whole fleet that ask a seed per interval, on average. */
const SEED_CONTACTS_PER_INTERVAL = 3;

const SYNCHRONISATION_INTERVAL_MS = 1000;
const MAXIMUM_SYNCHRONISATION_ROUNDS = 60;

/** Rounds without a difference after which the records are complete. */
const QUIET_ROUNDS = 2;

/** Records of other members in the answer to a first contact. */
const INTRODUCED_MEMBERS = 3;

// 50 first contacts per second. Contacts beyond it get an answer without
// records, and learn of members when these gossip with the new member.
const INTRODUCTION_BUDGET: ByteBudgetOptions = {
  bytesPerSecond: 30_000,
  burstBytes: 60_000,
};

/** Options of {@linkcode Joiner}. */
export interface JoinerOptions {
  readonly context: MembershipContext;
  readonly prober: Prober;
  readonly antiEntropy: AntiEntropy;
  readonly seeds: () => Promise<readonly string[]>;
  readonly pullMembers:
    | ((peer: Member) => Promise<readonly Member[]>)
    | undefined;
  /** Takes records that were pulled. */
  readonly accept: (records: readonly Member[]) => void;
}

/** Finds the fleet by the seeds, and answers nodes that do the same. */
export class Joiner {
  readonly #options: JoinerOptions;
  readonly #introductions: ByteBudget;
  #pulledCount = 0;

  constructor(options: JoinerOptions) {
    this.#options = options;
    this.#introductions = new ByteBudget(
      options.context.clock,
      INTRODUCTION_BUDGET,
    );
  }

  /** Joins, and joins again when alone, until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options.context;
    await clock.sleep(this.#random(0, START_JITTER_MS), signal);
    while (!signal.aborted) {
      await this.#findPeers(signal);
      await this.#synchronise(signal);
      await this.#keepContact(signal);
    }
  }

  /** Records for the answer to a datagram of a node that joins. */
  introduction(datagram: Datagram): readonly Uint8Array[] {
    const { context } = this.#options;
    const isFirstContact = datagram.updates.some((update) =>
      update.nodeId === datagram.sender && !isClaim(update)
    );
    if (!isFirstContact || this.#introductions.available() <= 0) return [];
    const others = context.table.sample(
      context.random,
      INTRODUCED_MEMBERS,
      (entry) =>
        isPeer(context, entry) && entry.member.nodeId !== datagram.sender,
    );
    const records = [context.self(), ...others.map((entry) => entry.member)]
      .map(encodeMember);
    records.forEach((record) => this.#introductions.spend(record.length));
    return records;
  }

  async #findPeers(signal: AbortSignal): Promise<void> {
    const { clock, log, table } = this.#options.context;
    let backoffMs = FIRST_BACKOFF_MS;
    while (!signal.aborted && table.liveCount < 2) {
      await this.#contact(SEEDS_PER_ATTEMPT);
      if (table.liveCount > 1) break;
      log?.write("debug", "no_seed_answered", { backoff_ms: backoffMs });
      await clock.sleep(this.#random(0, backoffMs), signal);
      backoffMs = Math.min(MAXIMUM_BACKOFF_MS, backoffMs * 2);
    }
  }

  async #contact(count: number): Promise<void> {
    const { context, prober } = this.#options;
    const addresses = await this.#seedAddresses();
    const pool = [...addresses];
    const chosen = Array.from(
      { length: Math.min(count, pool.length) },
      () => pool.splice(this.#random(0, pool.length - 1), 1)[0]!,
    );
    const updates = [encodeMember(context.self())];
    await Promise.all(
      chosen.map((address) =>
        prober.ping(address, undefined, { timeoutMs: SEED_TIMEOUT_MS, updates })
      ),
    );
  }

  async #seedAddresses(): Promise<readonly string[]> {
    const { context, seeds } = this.#options;
    try {
      const own = context.self().peerAddress;
      return (await seeds()).filter((address) => address !== own);
    } catch (error) {
      context.log?.write("warn", "seeds_unavailable", { error: String(error) });
      return [];
    }
  }

  // A new member compares its records with peers until they agree. With a pull
  // function it takes the whole list from a peer first, and again each time that
  // the fleet has doubled: after a restart of all nodes, lists are short at
  // first and grow together.
  async #synchronise(signal: AbortSignal): Promise<void> {
    const { antiEntropy, context } = this.#options;
    let quietRounds = 0;
    for (
      let round = 0;
      round < MAXIMUM_SYNCHRONISATION_ROUNDS && quietRounds < QUIET_ROUNDS &&
      !signal.aborted;
      round++
    ) {
      await this.#pull();
      const differences = antiEntropy.differencesSeen;
      antiEntropy.exchange();
      await context.clock.sleep(
        this.#random(
          SYNCHRONISATION_INTERVAL_MS / 2,
          SYNCHRONISATION_INTERVAL_MS * 3 / 2,
        ),
        signal,
      );
      quietRounds = antiEntropy.differencesSeen === differences
        ? quietRounds + 1
        : 0;
    }
  }

  async #pull(): Promise<void> {
    const { accept, context, pullMembers } = this.#options;
    const { liveCount } = context.table;
    if (pullMembers === undefined || liveCount < this.#pulledCount * 2) return;
    const [peer] = context.table.sample(
      context.random,
      1,
      (entry) => isPeer(context, entry),
    );
    if (peer === undefined) return;
    try {
      accept(await pullMembers(peer.member));
      this.#pulledCount = context.table.liveCount;
    } catch (error) {
      context.log?.write("info", "member_pull_failed", {
        peer: peer.member.nodeId,
        error: String(error),
      });
    }
  }

  // Parts of a fleet that do not know each other, as after a start in which each
  // seed was reached by different nodes, meet at the seeds.
  async #keepContact(signal: AbortSignal): Promise<void> {
    const { clock, table } = this.#options.context;
    while (!signal.aborted && table.liveCount > 1) {
      await clock.sleep(
        this.#random(SEED_INTERVAL_MS / 2, SEED_INTERVAL_MS * 3 / 2),
        signal,
      );
      const isChosen =
        this.#random(1, table.liveCount) <= SEED_CONTACTS_PER_INTERVAL;
      if (isChosen && !signal.aborted) await this.#contact(1);
    }
  }

  #random(from: number, to: number): number {
    return uniformInt(this.#options.context.random, from, to);
  }
}
