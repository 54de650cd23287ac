import { create } from "@bufbuild/protobuf";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import {
  type Digest,
  DigestSchema,
  type Member,
  MemberPageSchema,
  MemberState,
} from "@oleanderdeck/protocol";
import { ByteBudget, type ByteBudgetOptions } from "./_byte_budget.ts";
import { isPeer, type MembershipContext } from "./_context.ts";
import { AutoResetEvent } from "./_auto_reset_event.ts";
import {
  compareRecords,
  contentVersion,
  encodeMember,
  toRecordRequest,
  toStateUpdate,
} from "./_member_record.ts";
import {
  BUCKET_COUNT,
  lacksContent,
  type MemberEntry,
} from "./_member_table.ts";

/** Average interval at which a node starts an exchange of digests. */
export const EXCHANGE_INTERVAL_MS = 30_000;

/** Time after sending a digest in which a peer's digest counts as its answer. */
const DIGEST_WINDOW_MS = 10_000;

/**
 * Bytes of records per page, a datagram with several records; the signature, sender
 * and framing need the rest.
 */
const PAGE_CAPACITY_BYTES = 1050;

/** Bytes of the tag and the length of a record in a page. */
const RECORD_FRAMING_BYTES = 3;

/** Maximum number of queued records; later exchanges send the others. */
const MAX_QUEUED_RECORDS = 10_000;

// Allows two pages in three seconds on average, and a burst of 150 full records for
// a node that has just started.
const PAGE_BUDGET: ByteBudgetOptions = {
  bytesPerSecond: 800,
  burstBytes: 24_000,
};

/** Number of peers that are asked for a refutation by a suspect. */
const REFUTATION_QUERY_PEERS = 3;

/**
 * What is sent about a member: a `stateUpdate` has the state without the
 * content, a `record` has both, and a `request` asks the receiver for its record.
 */
type RecordForm = "stateUpdate" | "record" | "request";

/**
 * Anti-entropy: compares the node's records with those of peers by digests, and
 * exchanges records that gossip has not delivered.
 */
export class AntiEntropy {
  readonly #context: MembershipContext;
  readonly #budget: ByteBudget;
  readonly #recordsQueued = new AutoResetEvent();
  /** What to send, by address of the receiver and node id of the record. */
  readonly #queued = new Map<string, Map<string, RecordForm>>();
  /** Times at which digests were sent, by node id. */
  readonly #digestSentMs = new Map<string, number>();
  #queuedCount = 0;
  #differingDigests = 0;

  constructor(context: MembershipContext) {
    this.#context = context;
    this.#budget = new ByteBudget(context.clock, PAGE_BUDGET);
  }

  /** Number of received digests that differed from the node's own. */
  get differingDigests(): number {
    return this.#differingDigests;
  }

  /** Sends a digest to a random peer per interval until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, random } = this.#context;
    while (!signal.aborted) {
      const sleepMs = uniformInt(
        random,
        EXCHANGE_INTERVAL_MS / 2,
        EXCHANGE_INTERVAL_MS * 3 / 2,
      );
      await clock.sleep(sleepMs, signal);
      if (!signal.aborted) this.exchange();
    }
  }

  /** Sends a digest to a random peer. */
  exchange(): void {
    const { random, table } = this.#context;
    const [peer] = table.sample(
      random,
      1,
      (entry) => isPeer(this.#context, entry),
    );
    if (peer !== undefined) this.#sendDigest(peer.member);
  }

  /** Sends the queued records in pages until the signal is aborted. */
  async runPages(signal: AbortSignal): Promise<void> {
    const { clock } = this.#context;
    while (!signal.aborted) {
      if (this.#queued.size === 0) await this.#recordsQueued.wait(signal);
      if (signal.aborted) return;
      if (this.#budget.available() > 0) this.#sendPage();
      else await clock.sleep(BUDGET_CHECK_INTERVAL_MS, signal);
    }
  }

  /** Queues a request to a peer for the record of a member. */
  requestRecord(address: string, nodeId: string): void {
    this.#enqueue(address, nodeId, "request");
  }

  /** Queues the record of a member for a peer. */
  sendRecord(address: string, nodeId: string): void {
    this.#enqueue(address, nodeId, "record");
  }

  /**
   * Queues the states of suspects for random peers. A peer that has a newer
   * record, such as a refutation, answers with it.
   */
  queryRefutations(nodeIds: readonly string[]): void {
    const { random, table } = this.#context;
    const peers = table.sample(
      random,
      REFUTATION_QUERY_PEERS,
      (entry) =>
        isPeer(this.#context, entry) &&
        entry.member.state === MemberState.ALIVE,
    );
    for (const { member } of peers) {
      nodeIds.forEach((nodeId) =>
        this.#enqueue(member.peerAddress, nodeId, "stateUpdate")
      );
    }
  }

  /** Answers a digest that differs with the records that the sender may lack. */
  receiveDigest(digest: Digest, sender: Member): void {
    const { clock, table } = this.#context;
    const peerHashes = digest.memberBuckets;
    if (peerHashes.length !== BUCKET_COUNT) return;
    const own = table.buckets;
    const differing = own.map((hash, bucket) => hash !== peerHashes[bucket]);
    if (!differing.includes(true)) return;
    this.#differingDigests += 1;
    const lastMs = this.#digestSentMs.get(sender.nodeId) ?? -Infinity;
    if (clock.now() - lastMs > DIGEST_WINDOW_MS) this.#sendDigest(sender);
    table.live()
      .filter((entry) => differing[entry.bucket])
      .forEach((entry) =>
        this.#enqueue(
          sender.peerAddress,
          entry.member.nodeId,
          peerHashes[entry.bucket] === 0n ? "record" : "stateUpdate",
        )
      );
  }

  /**
   * Sends the node's own version back if it is newer than a received record.
   *
   * @param entry Entry of the same member, before the record is merged.
   * @param address Address of the sender.
   */
  receiveRecord(record: Member, entry: MemberEntry, address: string): void {
    const { nodeId } = record;
    if (compareRecords(entry.member, record) <= 0) return;
    const needsContent = !lacksContent(entry) &&
      (record.incarnation !== entry.member.incarnation ||
        contentVersion(record.revision) < entry.heldContentVersion);
    this.#enqueue(address, nodeId, needsContent ? "record" : "stateUpdate");
  }

  #sendDigest(peer: Member): void {
    const { clock, configuration, link, table } = this.#context;
    const nowMs = clock.now();
    for (const [nodeId, sentMs] of this.#digestSentMs) {
      if (nowMs - sentMs > DIGEST_WINDOW_MS) this.#digestSentMs.delete(nodeId);
    }
    this.#digestSentMs.set(peer.nodeId, nowMs);
    const value = create(DigestSchema, {
      memberBuckets: [...table.buckets],
      documents: configuration()?.digest ?? 0n,
    });
    link.sendTo(peer.peerAddress, { case: "digest", value });
  }

  #enqueue(address: string, nodeId: string, form: RecordForm): void {
    const items = this.#queued.get(address) ?? new Map<string, RecordForm>();
    if (items.get(nodeId) === form) return;
    if (!items.has(nodeId)) {
      if (this.#queuedCount >= MAX_QUEUED_RECORDS) return;
      this.#queuedCount += 1;
    }
    items.set(nodeId, form);
    this.#queued.set(address, items);
    this.#recordsQueued.set();
  }

  #sendPage(): void {
    const [next] = this.#queued;
    if (next === undefined) return;
    const [address, items] = next;
    const members: Member[] = [];
    let remainingBytes = PAGE_CAPACITY_BYTES;
    for (const [nodeId, form] of items) {
      const member = this.#recordInForm(nodeId, form);
      const size = member === undefined
        ? 0
        : encodeMember(member).length + RECORD_FRAMING_BYTES;
      if (size > remainingBytes) break;
      remainingBytes -= size;
      items.delete(nodeId);
      this.#queuedCount -= 1;
      if (member !== undefined) members.push(member);
    }
    // Receivers are served in rotation, so that a long list for one hardly delays
    // the others.
    this.#queued.delete(address);
    if (items.size > 0) this.#queued.set(address, items);
    if (members.length === 0) return;
    const value = create(MemberPageSchema, { members });
    const { bytes } = this.#context.link.sendTo(
      address,
      { case: "memberPage", value },
    );
    this.#budget.spend(bytes);
  }

  #recordInForm(nodeId: string, form: RecordForm): Member | undefined {
    if (form === "request") return toRecordRequest(nodeId);
    const entry = this.#context.table.get(nodeId);
    if (entry === undefined) return undefined;
    return form === "stateUpdate" || lacksContent(entry)
      ? toStateUpdate(entry.member)
      : entry.member;
  }
}

/** Interval at which an exhausted budget is checked again. */
const BUDGET_CHECK_INTERVAL_MS = 200;
