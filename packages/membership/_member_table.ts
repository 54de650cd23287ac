import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { type Member, MemberState } from "@oleanderdeck/protocol";
import {
  compareRecords,
  contentVersion,
  hashRecord,
  hashText,
  isServing,
  isStateUpdate,
} from "./_member_record.ts";
import { isLive } from "./member_view.ts";

/** Number of buckets of records whose hashes anti-entropy compares. */
export const BUCKET_COUNT = 64;

/** Weight of a new sample in the smoothed round trip time. */
const ROUND_TRIP_SMOOTHING = 1 / 8;

/** Record of a member, with local state about it. */
export interface MemberEntry {
  member: Member;
  /**
   * Version of the content in `member`, which may be older than its revision;
   * see {@linkcode contentVersion}.
   */
  heldContentVersion: number;
  /** Index of the bucket that the node id falls into. */
  readonly bucket: number;
  /** Position on the probe ring, from 0 to 1. */
  readonly ringPosition: number;
  /** Hash of the record within that of the bucket; 0 if the member is not live. */
  hash: bigint;
  /** Time of the last change of state, in milliseconds of the local clock. */
  changedMs: number;
  /** Time at which a suspect is declared dead. */
  suspicionEndMs: number;
  /** Smoothed round trip time, if measured. */
  roundTripMs: number | undefined;
  /** Index in the list of live members; -1 if the member is not live. */
  liveIndex: number;
}

/** Outcome of {@linkcode MemberTable.merge}. */
export interface MergeResult {
  /** Whether the state, revision or content changed. */
  readonly changed: boolean;
  /** Whether the content was replaced, so that the full record is forwarded. */
  readonly newContent: boolean;
  /** Whether the state update refers to content that this node does not have. */
  readonly lacksContent: boolean;
}

const UNCHANGED: MergeResult = {
  changed: false,
  newContent: false,
  lacksContent: false,
};

/** Whether an entry's content is older than its revision. */
export function lacksContent(entry: MemberEntry): boolean {
  return entry.heldContentVersion < contentVersion(entry.member.revision);
}

/** Records of all known members, indexed for the tasks of the membership. */
export class MemberTable {
  readonly #entries = new Map<string, MemberEntry>();
  readonly #live: MemberEntry[] = [];
  readonly #byAddress = new Map<string, MemberEntry>();
  readonly #buckets = new BigUint64Array(BUCKET_COUNT);
  readonly #serving = new Map<string, readonly Member[]>();
  readonly #listeners = new Set<(member: Member) => void>();

  /** Number of live members. */
  get liveCount(): number {
    return this.#live.length;
  }

  /** Hashes of the live records by bucket. */
  get buckets(): readonly bigint[] {
    return [...this.#buckets];
  }

  get(nodeId: string): MemberEntry | undefined {
    return this.#entries.get(nodeId);
  }

  /** Entry of the member that used an address last. */
  atAddress(address: string): MemberEntry | undefined {
    return this.#byAddress.get(address);
  }

  entries(): IterableIterator<MemberEntry> {
    return this.#entries.values();
  }

  live(): readonly MemberEntry[] {
    return this.#live;
  }

  serving(service: string): readonly Member[] {
    const known = this.#serving.get(service);
    if (known !== undefined) return known;
    const members = this.#live.map((entry) => entry.member)
      .filter((member) => isServing(member, service));
    this.#serving.set(service, members);
    return members;
  }

  /** Chooses up to `count` distinct live entries at random. */
  sample(
    random: RandomGenerator,
    count: number,
    accepts: (entry: MemberEntry) => boolean,
  ): readonly MemberEntry[] {
    const chosen = new Set<MemberEntry>();
    // A small fleet is searched completely. In a larger one, four draws per wanted
    // entry usually find enough.
    if (this.#live.length <= count * 4) {
      return shuffle(random, this.#live.filter(accepts)).slice(0, count);
    }
    for (let draw = 0; draw < count * 4 && chosen.size < count; draw++) {
      const entry = this.#live[uniformInt(random, 0, this.#live.length - 1)]!;
      if (accepts(entry)) chosen.add(entry);
    }
    return [...chosen];
  }

  /** Next alive entry on the probe ring; suspects are skipped. */
  successor(of: MemberEntry): MemberEntry | undefined {
    const distance = (entry: MemberEntry) =>
      (entry.ringPosition - of.ringPosition + 1) % 1;
    return this.#live.reduce<MemberEntry | undefined>(
      (best, entry) =>
        entry === of || entry.member.state === MemberState.SUSPECT ||
          (best !== undefined && distance(entry) >= distance(best))
          ? best
          : entry,
      undefined,
    );
  }

  /**
   * Merges a record or a state update if it is newer than the entry. A record of
   * an unknown member is added only if the member is live.
   */
  merge(record: Member, nowMs: number): MergeResult {
    const entry = this.#entries.get(record.nodeId);
    if (entry === undefined) return this.#insert(record, nowMs);
    const held = entry.member;
    const isNewer = compareRecords(record, held) > 0;
    const isNewIncarnation = record.incarnation > held.incarnation;
    if (isStateUpdate(record)) {
      if (!isNewer) return { ...UNCHANGED, lacksContent: lacksContent(entry) };
      // A new process is not used before its content is known.
      if (isNewIncarnation && isLive(record)) {
        return { ...UNCHANGED, lacksContent: true };
      }
      const { incarnation, revision, state } = record;
      if (isNewIncarnation) entry.heldContentVersion = -1;
      this.#update(entry, { ...held, incarnation, revision, state }, nowMs);
      return {
        changed: true,
        newContent: false,
        lacksContent: lacksContent(entry) && isLive(record),
      };
    }
    const hasContent = isNewIncarnation ||
      (record.incarnation === held.incarnation &&
        contentVersion(record.revision) > entry.heldContentVersion);
    if (!isNewer && !hasContent) return UNCHANGED;
    if (hasContent) entry.heldContentVersion = contentVersion(record.revision);
    const { revision, state } = isNewer ? record : held;
    const content = hasContent ? record : held;
    this.#update(entry, { ...content, revision, state }, nowMs);
    return { changed: true, newContent: hasContent, lacksContent: false };
  }

  /** Removes a member. */
  remove(entry: MemberEntry): void {
    this.#setLive(entry, false);
    this.#buckets[entry.bucket]! ^= entry.hash;
    this.#entries.delete(entry.member.nodeId);
    if (this.#byAddress.get(entry.member.peerAddress) === entry) {
      this.#byAddress.delete(entry.member.peerAddress);
    }
  }

  /** Adds a sample to the smoothed round trip time. */
  addRoundTripSample(entry: MemberEntry, sampleMs: number): void {
    const smoothed = entry.roundTripMs ?? sampleMs;
    entry.roundTripMs = smoothed + (sampleMs - smoothed) * ROUND_TRIP_SMOOTHING;
  }

  onChange(listener: (member: Member) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  #insert(record: Member, nowMs: number): MergeResult {
    if (!isLive(record)) return UNCHANGED;
    if (isStateUpdate(record)) return { ...UNCHANGED, lacksContent: true };
    const hash = hashText(record.nodeId);
    const entry: MemberEntry = {
      member: record,
      heldContentVersion: contentVersion(record.revision),
      bucket: Number(hash % BigInt(BUCKET_COUNT)),
      ringPosition: Number(hash >> 11n) / 2 ** 53,
      hash: 0n,
      changedMs: nowMs,
      suspicionEndMs: Infinity,
      roundTripMs: undefined,
      liveIndex: -1,
    };
    this.#entries.set(record.nodeId, entry);
    this.#update(entry, record, nowMs);
    return { changed: true, newContent: true, lacksContent: false };
  }

  #update(entry: MemberEntry, member: Member, nowMs: number): void {
    const before = entry.member;
    if (before.state !== member.state) entry.changedMs = nowMs;
    entry.member = member;
    if (isLive(member)) this.#byAddress.set(member.peerAddress, entry);
    this.#setLive(entry, isLive(member));
    const hash = isLive(member)
      ? hashRecord(member, entry.heldContentVersion)
      : 0n;
    this.#buckets[entry.bucket]! ^= entry.hash ^ hash;
    entry.hash = hash;
    this.#serving.delete(before.worker?.service ?? "");
    this.#serving.delete(member.worker?.service ?? "");
    this.#listeners.forEach((listener) => listener(member));
  }

  #setLive(entry: MemberEntry, live: boolean): void {
    if (live === entry.liveIndex >= 0) return;
    if (live) {
      entry.liveIndex = this.#live.push(entry) - 1;
      return;
    }
    const last = this.#live.pop()!;
    if (last !== entry) {
      this.#live[entry.liveIndex] = last;
      last.liveIndex = entry.liveIndex;
    }
    entry.liveIndex = -1;
  }
}

/** Returns a copy in random order. */
export function shuffle<Item>(
  random: RandomGenerator,
  items: readonly Item[],
): Item[] {
  const shuffled = [...items];
  for (let last = shuffled.length - 1; last > 0; last--) {
    const other = uniformInt(random, 0, last);
    [shuffled[last], shuffled[other]] = [shuffled[other]!, shuffled[last]!];
  }
  return shuffled;
}
