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

/** Time between two exchanges that a member starts, on average. */
export const EXCHANGE_INTERVAL_MS = 30_000;

/** Time in which a digest from a peer counts as the answer to one's own. */
const DIGEST_ANSWER_WINDOW_MS = 10_000;

/** Room for records in a page; the rest is signature, sender and framing. */
const PAGE_CAPACITY_BYTES = 1050;

const RECORD_FRAMING_BYTES = 3;

/** Records that wait for their page; later ones are left to the next exchange. */
const MAX_QUEUED_RECORDS = 10_000;

// Two pages in three seconds on average. The burst lets a peer send 150 full records
// to a node that has just started.
const PAGE_BUDGET: ByteBudgetOptions = {
  bytesPerSecond: 800,
  burstBytes: 24_000,
};

/** Peers that are asked about a member. */
const REFUTATION_QUERY_PEERS = 3;

/** `claim` tells the state only, `request` asks the receiver for its record. */
type RecordForm = "claim" | "record" | "requestRecord";

/** Compares records with peers and repairs what dissemination has missed. */
export class AntiEntropy {
  readonly #context: MembershipContext;
  readonly #budget: ByteBudget;
  readonly #recordsQueued = new AutoResetEvent();
  /** Records to send, by address and node id. */
  readonly #queued = new Map<string, Map<string, RecordForm>>();
  readonly #digestSentMs = new Map<string, number>();
  #queuedCount = 0;
  #differingDigests = 0;

  constructor(context: MembershipContext) {
    this.#context = context;
    this.#budget = new ByteBudget(context.clock, PAGE_BUDGET);
  }

  /** Number of digests received that differed from the node's own records. */
  get differingDigests(): number {
    return this.#differingDigests;
  }

  /** Starts an exchange with a random peer per interval. */
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

  /** Sends the waiting records in pages until the signal is aborted. */
  async runPages(signal: AbortSignal): Promise<void> {
    const { clock } = this.#context;
    while (!signal.aborted) {
      if (this.#queued.size === 0) await this.#recordsQueued.wait(signal);
      if (signal.aborted) return;
      if (this.#budget.available() > 0) this.#sendPage();
      else await clock.sleep(BUDGET_CHECK_INTERVAL_MS, signal);
    }
  }

  /** Asks a peer for the record of a member. */
  request(address: string, nodeId: string): void {
    this.#enqueue(address, nodeId, "requestRecord");
  }

  /** Sends the record of a member to a peer. */
  sendRecord(address: string, nodeId: string): void {
    this.#enqueue(address, nodeId, "record");
  }

  /** Tells random peers what is held, so that they answer if they know better. */
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
        this.#enqueue(member.peerAddress, nodeId, "claim")
      );
    }
  }

  /** Answers a digest with what the sender may lack. */
  receiveDigest(digest: Digest, sender: Member): void {
    const { clock, table } = this.#context;
    const peerHashes = digest.memberBuckets;
    if (peerHashes.length !== BUCKET_COUNT) return;
    const own = table.buckets;
    const differing = own.map((hash, bucket) => hash !== peerHashes[bucket]);
    if (!differing.includes(true)) return;
    this.#differingDigests += 1;
    const lastMs = this.#digestSentMs.get(sender.nodeId) ?? -Infinity;
    if (clock.now() - lastMs > DIGEST_ANSWER_WINDOW_MS) {
      this.#sendDigest(sender);
    }
    table.live()
      .filter((entry) => differing[entry.bucket])
      .forEach((entry) =>
        this.#enqueue(
          sender.peerAddress,
          entry.member.nodeId,
          peerHashes[entry.bucket] === 0n ? "record" : "claim",
        )
      );
  }

  /** Compares a received record with the one held, before it is merged. */
  receiveRecord(record: Member, entry: MemberEntry, address: string): void {
    const { nodeId } = record;
    if (compareRecords(entry.member, record) <= 0) return;
    const needsContent = !lacksContent(entry) &&
      (record.incarnation !== entry.member.incarnation ||
        contentVersion(record.revision) < entry.heldContentVersion);
    this.#enqueue(address, nodeId, needsContent ? "record" : "claim");
  }

  #sendDigest(peer: Member): void {
    const { clock, configuration, link, table } = this.#context;
    const nowMs = clock.now();
    for (const [nodeId, sentMs] of this.#digestSentMs) {
      if (nowMs - sentMs > DIGEST_ANSWER_WINDOW_MS) {
        this.#digestSentMs.delete(nodeId);
      }
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
    // Peers take turns, so that a long list for one delays the others little.
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
    if (form === "requestRecord") return toRecordRequest(nodeId);
    const entry = this.#context.table.get(nodeId);
    if (entry === undefined) return undefined;
    return form === "claim" || lacksContent(entry)
      ? toStateUpdate(entry.member)
      : entry.member;
  }
}

const BUDGET_CHECK_INTERVAL_MS = 200;
