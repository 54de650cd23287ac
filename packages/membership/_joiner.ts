import { uniformInt } from "pure-rand/distribution/uniformInt";
import type { Datagram, Member } from "@oleanderdeck/protocol";
import { type AntiEntropy, EXCHANGE_INTERVAL_MS } from "./_anti_entropy.ts";
import { ByteBudget, type ByteBudgetOptions } from "./_byte_budget.ts";
import { isPeer, type MembershipContext } from "./_context.ts";
import { encodeMember, isStateUpdate } from "./_member_record.ts";
import type { Pinger } from "./_pinger.ts";

/** Maximum random delay before the node first contacts a seed. */
const MAX_START_DELAY_MS = 1000;

/** Number of seeds that one attempt to join contacts. */
const SEEDS_PER_ATTEMPT = 2;

const SEED_TIMEOUT_MS = 500;
const FIRST_BACKOFF_MS = 500;
const MAX_BACKOFF_MS = 10_000;

/** Interval at which a member that has joined may contact a seed again. */
const SEED_INTERVAL_MS = 10_000;

/** Average number of members of the fleet that contact a seed per interval. */
const SEED_CONTACTS_PER_INTERVAL = 3;

const PULL_INTERVAL_MS = 1000;
const MAX_PULLS = 20;

/** A pull that grows the list of members by no more than this adds little. */
const STABLE_GROWTH_FACTOR = 1.01;

const SYNCHRONISATION_INTERVAL_MS = 1000;
const SYNCHRONISATION_BACKOFF = 1.5;

/** Number of rounds in turn that find (almost) nothing new before a task ends. */
const STABLE_ROUNDS = 2;

/** Number of other members' records in the answer to a first contact. */
const INTRODUCED_MEMBERS = 3;

// Enough for 50 first contacts per second. Further ones are answered without
// records; those nodes learn of members when a member gossips with them.
const INTRODUCTION_BUDGET: ByteBudgetOptions = {
  bytesPerSecond: 30_000,
  burstBytes: 60_000,
};

/** Options of {@linkcode Joiner}. */
export interface JoinerOptions {
  readonly context: MembershipContext;
  readonly pinger: Pinger;
  readonly antiEntropy: AntiEntropy;
  readonly seeds: () => Promise<readonly string[]>;
  readonly pullMembers:
    | ((peer: Member) => Promise<readonly Member[]>)
    | undefined;
  /** Merges records that were pulled from a peer. */
  readonly accept: (records: readonly Member[]) => void;
}

/** Joins the fleet through its seeds, and introduces other nodes that join. */
export class Joiner {
  readonly #options: JoinerOptions;
  readonly #introductionBudget: ByteBudget;

  constructor(options: JoinerOptions) {
    this.#options = options;
    this.#introductionBudget = new ByteBudget(
      options.context.clock,
      INTRODUCTION_BUDGET,
    );
  }

  /**
   * Joins the fleet, and joins it again when no other member is live, until the
   * signal is aborted.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { context } = this.#options;
    await context.clock.sleep(this.#randomInt(0, MAX_START_DELAY_MS), signal);
    while (!signal.aborted) {
      await this.#findPeers(signal);
      context.disseminator.announceOwn(context.self());
      await this.#pullMemberLists(signal);
      await this.#synchronise(signal);
      await this.#maintainSeedContact(signal);
    }
  }

  /**
   * Returns the records that introduce the fleet to a node that joins: the node's
   * own and those of some random members.
   *
   * @returns Encoded records; none if the datagram is not a first contact, which
   * carries the sender's full record.
   */
  introductionRecords(datagram: Datagram): readonly Uint8Array[] {
    const { context } = this.#options;
    const isFirstContact = datagram.updates.some((update) =>
      update.nodeId === datagram.sender && !isStateUpdate(update)
    );
    if (!isFirstContact || this.#introductionBudget.available() <= 0) return [];
    const others = context.table.sample(
      context.random,
      INTRODUCED_MEMBERS,
      (entry) =>
        isPeer(context, entry) && entry.member.nodeId !== datagram.sender,
    );
    const records = [context.self(), ...others.map((entry) => entry.member)]
      .map(encodeMember);
    records.forEach((record) => this.#introductionBudget.spend(record.length));
    return records;
  }

  async #findPeers(signal: AbortSignal): Promise<void> {
    const { clock, log, table } = this.#options.context;
    let backoffMs = FIRST_BACKOFF_MS;
    while (!signal.aborted && table.liveCount < 2) {
      await this.#contactSeeds(SEEDS_PER_ATTEMPT);
      if (table.liveCount > 1) break;
      log?.write("debug", "no_seed_answered", { backoff_ms: backoffMs });
      await clock.sleep(this.#randomInt(0, backoffMs), signal);
      backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
    }
  }

  async #contactSeeds(count: number): Promise<void> {
    const { context, pinger } = this.#options;
    const addresses = await this.#seedAddresses();
    const pool = [...addresses];
    const chosen = Array.from(
      { length: Math.min(count, pool.length) },
      () => pool.splice(this.#randomInt(0, pool.length - 1), 1)[0]!,
    );
    const updates = [encodeMember(context.self())];
    await Promise.all(
      chosen.map((address) =>
        pinger.ping(address, undefined, { timeoutMs: SEED_TIMEOUT_MS, updates })
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

  // Pulls complete lists of members from random peers until several pulls in turn
  // add little; one such pull is not enough, since a peer may have started later
  // and have fewer records. After a restart of all nodes, the lists are short at
  // first and double each round.
  async #pullMemberLists(signal: AbortSignal): Promise<void> {
    const { accept, context, pullMembers } = this.#options;
    const { clock, log, random, table } = context;
    if (pullMembers === undefined) return;
    let stablePulls = 0;
    for (
      let round = 0;
      round < MAX_PULLS && stablePulls < STABLE_ROUNDS && !signal.aborted;
      round++
    ) {
      const [peer] = table.sample(random, 1, (entry) => isPeer(context, entry));
      if (peer === undefined) return;
      const countBefore = table.liveCount;
      try {
        accept(await untilAborted(pullMembers(peer.member), signal) ?? []);
        const isStable = table.liveCount <= countBefore * STABLE_GROWTH_FACTOR;
        stablePulls = isStable ? stablePulls + 1 : 0;
      } catch (error) {
        log?.write("info", "member_pull_failed", {
          peer: peer.member.nodeId,
          error: String(error),
        });
      }
      await clock.sleep(this.#jittered(PULL_INTERVAL_MS), signal);
    }
  }

  // Exchanges digests with peers until no differences are seen. The interval grows,
  // since the records of all nodes differ for a while when a fleet starts at once.
  async #synchronise(signal: AbortSignal): Promise<void> {
    const { antiEntropy, context } = this.#options;
    let stableRounds = 0;
    let intervalMs = SYNCHRONISATION_INTERVAL_MS;
    while (
      stableRounds < STABLE_ROUNDS && intervalMs < EXCHANGE_INTERVAL_MS &&
      !signal.aborted
    ) {
      const differences = antiEntropy.differingDigests;
      antiEntropy.exchange();
      await context.clock.sleep(this.#jittered(intervalMs), signal);
      const isStable = antiEntropy.differingDigests === differences;
      stableRounds = isStable ? stableRounds + 1 : 0;
      if (!isStable) intervalMs *= SYNCHRONISATION_BACKOFF;
    }
  }

  // Contacts a seed now and then, so that separate parts of a fleet merge. They form
  // at a start in which each seed is reached by different nodes.
  async #maintainSeedContact(signal: AbortSignal): Promise<void> {
    const { clock, table } = this.#options.context;
    while (!signal.aborted && table.liveCount > 1) {
      await clock.sleep(this.#jittered(SEED_INTERVAL_MS), signal);
      const isChosen =
        this.#randomInt(1, table.liveCount) <= SEED_CONTACTS_PER_INTERVAL;
      if (isChosen && !signal.aborted) await this.#contactSeeds(1);
    }
  }

  #jittered(intervalMs: number): number {
    return this.#randomInt(
      Math.floor(intervalMs / 2),
      Math.ceil(intervalMs * 3 / 2),
    );
  }

  #randomInt(from: number, to: number): number {
    return uniformInt(this.#options.context.random, from, to);
  }
}

/** Resolves as the promise does, or with undefined once the signal is aborted. */
function untilAborted<Result>(
  promise: Promise<Result>,
  signal: AbortSignal,
): Promise<Result | undefined> {
  return new Promise((resolve, reject) => {
    const finish = () => resolve(undefined);
    signal.addEventListener("abort", finish, { once: true });
    promise.then(resolve, reject)
      .finally(() => signal.removeEventListener("abort", finish));
  });
}
