import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { isLive, type MemberView } from "@oleanderdeck/membership";
import type { EventLog } from "@oleanderdeck/observability";
import type { Member } from "@oleanderdeck/protocol";
import type { Clock } from "@oleanderdeck/settings";
import type { ConfigurationReplica } from "./configuration_replica.ts";
import type { DocumentPuller } from "./document_puller.ts";
import { pickRandom, randomFraction } from "./random_choice.ts";
import type { StoreReader } from "./store_reader.ts";
import { untilAborted } from "./notifier.ts";

/** Options of {@linkcode loadConfiguration}. */
export interface LoadConfigurationOptions {
  readonly reader: StoreReader;
  readonly puller: DocumentPuller;
  readonly replica: ConfigurationReplica;
  readonly members: MemberView;
  readonly clock: Clock;
  /** Random numbers for the choice of peers and the jitter between rounds. */
  readonly random: RandomGenerator;
  readonly signal: AbortSignal;
  readonly log?: EventLog;
}

/**
 * Maximum number of peers that a node queries in each round if the store does
 * not respond.
 */
export const START_UP_PEERS = 3;

/**
 * Number of initial rounds in which two peers must have responded, if two are
 * live. After these rounds, one is enough.
 */
const ROUNDS_REQUIRING_TWO_PEERS = 3;

/** Mean time between two rounds, in milliseconds. */
const MEAN_RETRY_INTERVAL_MS = 1_000;

/**
 * Loads the configuration from the store or, if that fails, from peers in
 * different data centres. Retries until the replica is loaded or the signal is
 * aborted. The replica becomes ready when it holds the highest version that the
 * node was informed of.
 *
 * @param options The store reader, the peers and the replica.
 */
export async function loadConfiguration(
  options: LoadConfigurationOptions,
): Promise<void> {
  const { reader, puller, replica, clock, signal, log } = options;
  const respondedPeers = new Set<string>();
  for (let round = 1; !signal.aborted; round++) {
    if (await untilAborted(reader.read(0), signal)) {
      replica.markLoaded();
      log?.write("info", "configuration_loaded", { source: "store" });
      return;
    }
    if (signal.aborted) return;
    const peers = choosePeers(options);
    // The peers are asked in sequence, so that the second one sends only the
    // documents that the first one did not have.
    for (const peer of peers) {
      const hasResponded = await untilAborted(puller.pullAll(peer), signal);
      if (hasResponded) respondedPeers.add(peer.nodeId);
    }
    // A single peer may be stale, for example after a network partition.
    const needed = round > ROUNDS_REQUIRING_TWO_PEERS
      ? 1
      : Math.min(2, peers.length);
    if (respondedPeers.size > 0 && respondedPeers.size >= needed) {
      replica.markLoaded();
      log?.write("info", "configuration_loaded", {
        source: "peers",
        peers: respondedPeers.size,
      });
      return;
    }
    await clock.sleep(
      MEAN_RETRY_INTERVAL_MS * (0.5 + randomFraction(options.random)),
      signal,
    );
  }
}

/** Chooses live peers at random, in different data centres where possible. */
function choosePeers(
  { members, random }: LoadConfigurationOptions,
): readonly Member[] {
  const self = members.self().nodeId;
  const live = members.members().filter((member) =>
    member.nodeId !== self && isLive(member)
  );
  const shuffled = pickRandom(random, live, Math.min(live.length, 64));
  const byDataCentre = [
    ...new Map(shuffled.map((member) => [member.dataCentre, member])).values(),
  ];
  const chosen = pickRandom(random, byDataCentre, START_UP_PEERS);
  const others = shuffled.filter((member) => !chosen.includes(member));
  return [...chosen, ...others].slice(0, START_UP_PEERS);
}
