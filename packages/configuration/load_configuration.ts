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
  /** Source of the choice of peers and of the jitter between attempts. */
  readonly random: RandomGenerator;
  readonly signal: AbortSignal;
  readonly log?: EventLog;
}

/** Number of peers that a node asks when the store does not answer. */
export const START_UP_PEERS = 3;

/** Rounds after which the answer of a single peer is enough. */
const ROUNDS_REQUIRING_TWO_PEERS = 3;

const MEAN_RETRY_INTERVAL_MS = 1_000;

/**
 * Loads the configuration from the store or else from peers of different data
 * centres, again and again until the replica is loaded. The replica becomes
 * ready when it reaches the highest version that the node has heard of.
 *
 * @param options The sources and the replica.
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
    // One after another, so that the second peer sends only what the first one
    // did not have.
    for (const peer of peers) {
      const hasResponded = await untilAborted(puller.pullAll(peer), signal);
      if (hasResponded) respondedPeers.add(peer.nodeId);
    }
    // One peer may be stale, for example because it was cut off.
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

/** Chooses live peers at random, of different data centres where possible. */
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
