import { setMaxListeners } from "node:events";
import { create } from "@bufbuild/protobuf";
import {
  type Datagram,
  type HeldConfiguration,
  type Member,
  MemberSchema,
  MemberState,
  type Worker,
} from "@oleanderdeck/protocol";
import { AntiEntropy } from "./_anti_entropy.ts";
import type { MembershipContext } from "./_context.ts";
import { DeadMembers } from "./_dead_members.ts";
import { Disseminator } from "./_disseminator.ts";
import { Joiner } from "./_joiner.ts";
import { LocalHealth } from "./_local_health.ts";
import {
  compareRecords,
  encodeMember,
  isStateUpdate,
  MAX_NODE_ID_LENGTH,
  MAX_RECORD_BYTES,
  nextContentRevision,
  nextRefutationRevision,
  toStateUpdate,
} from "./_member_record.ts";
import { MemberTable } from "./_member_table.ts";
import { PeerLink } from "./_peer_link.ts";
import { Pinger } from "./_pinger.ts";
import { Prober } from "./_prober.ts";
import { SuspicionTimer } from "./_suspicion_timer.ts";
import { newIncarnation } from "./incarnation.ts";
import type {
  MembershipCounters,
  MembershipOptions,
} from "./membership_options.ts";
import { type DatagramChannel, isLive, MemberView } from "./member_view.ts";

/** Time for which a leave is announced to peers before the node may stop. */
const LEAVE_ANNOUNCEMENT_MS = 1000;

// Within this time after the start, a higher incarnation of the node's own id is
// that of a former process whose wall clock was ahead. Later it is that of a
// process that has replaced this one.
const CLOCK_STEP_WINDOW_MS = 30_000;

/**
 * A node's membership of the fleet by the SWIM protocol: members probe each other,
 * gossip changes of their records, and repair differences by anti-entropy. See
 * section 12 of the design.
 */
export class Membership extends MemberView {
  readonly #options: MembershipOptions;
  readonly #table = new MemberTable();
  readonly #link: PeerLink;
  readonly #disseminator: Disseminator;
  readonly #context: MembershipContext;
  readonly #pinger: Pinger;
  readonly #prober: Prober;
  readonly #suspicionTimer: SuspicionTimer;
  readonly #antiEntropy: AntiEntropy;
  readonly #joiner: Joiner;
  readonly #deadMembers: DeadMembers;
  readonly #health = new LocalHealth();
  readonly #stopping = new AbortController();
  #self: Member;
  #tasks: Promise<unknown> = Promise.resolve();
  #startedMs: number | undefined;
  #refutations = 0;
  #configuration: () => HeldConfiguration | undefined = () => undefined;

  /**
   * @param options Identity of the node, and the services that it uses.
   * @throws {RangeError} If the node id or the record is too long.
   */
  constructor(options: MembershipOptions) {
    super();
    const { clock, keys, log, nodeId, random, transport } = options;
    if (nodeId === "" || nodeId.length > MAX_NODE_ID_LENGTH) {
      throw new RangeError(
        `A node id has 1 to ${MAX_NODE_ID_LENGTH} characters`,
      );
    }
    this.#options = options;
    this.#self = checkSize(create(MemberSchema, {
      nodeId,
      incarnation: options.incarnation ?? newIncarnation(random),
      revision: 0,
      state: MemberState.ALIVE,
      peerAddress: options.peerAddress ?? "",
      callAddress: options.callAddress,
      controlAddress: options.controlAddress,
      dataCentre: options.dataCentre,
      region: options.region,
    }));
    const table = this.#table;
    this.#link = new PeerLink({
      nodeId,
      transport,
      keys,
      table,
      onDatagram: (datagram, from) => this.#receive(datagram, from),
    });
    this.#disseminator = new Disseminator({
      clock,
      random,
      table,
      nodeId,
      link: () => this.#link,
    });
    const context: MembershipContext = {
      clock,
      random,
      table,
      link: this.#link,
      disseminator: this.#disseminator,
      health: this.#health,
      log,
      self: () => this.#self,
      configuration: () => this.#configuration(),
      applyLocal: (record) => this.#apply(record, { isGossiped: true }),
    };
    this.#context = context;
    this.#antiEntropy = new AntiEntropy(context);
    this.#suspicionTimer = new SuspicionTimer(context, this.#antiEntropy);
    this.#pinger = new Pinger(
      context,
      (datagram) => this.#joiner.introductionRecords(datagram),
    );
    this.#prober = new Prober(context, this.#pinger);
    this.#deadMembers = new DeadMembers(context, this.#pinger);
    this.#joiner = new Joiner({
      context,
      pinger: this.#pinger,
      antiEntropy: this.#antiEntropy,
      seeds: options.seeds,
      pullMembers: options.pullMembers,
      accept: (records) => this.#applyAll(records),
    });
    table.onChange((member) => {
      this.#suspicionTimer.onMemberChange(member);
      this.#prober.onMemberChange(member);
    });
  }

  /** Channel for the datagrams of other packages. */
  get channel(): DatagramChannel {
    return this.#link;
  }

  /**
   * Opens the transport and starts to join the fleet.
   *
   * @throws {Error} If the address is not available.
   */
  async start(): Promise<void> {
    await this.#link.open();
    const peerAddress = this.#options.peerAddress ??
      this.#options.transport.address();
    this.#self = checkSize({ ...this.#self, peerAddress });
    this.#startedMs = this.#context.clock.now();
    this.#table.merge(this.#self, this.#startedMs);
    const { signal } = this.#stopping;
    // Each waiting task adds a listener.
    setMaxListeners(0, signal);
    this.#tasks = Promise.all([
      this.#joiner.run(signal),
      this.#prober.run(signal),
      this.#prober.runDataCentreProbes(signal),
      this.#disseminator.run(signal),
      this.#suspicionTimer.run(signal),
      this.#antiEntropy.run(signal),
      this.#antiEntropy.runPages(signal),
      this.#deadMembers.run(signal),
    ]);
  }

  /**
   * Announces that the node leaves the fleet. Resolves after 1 s, when the update
   * has been sent to enough peers; the caller then has to close the node.
   */
  async leave(): Promise<void> {
    this.#changeOwnState(
      nextRefutationRevision(this.#self.revision),
      MemberState.LEFT,
    );
    await this.#context.clock.sleep(
      LEAVE_ANNOUNCEMENT_MS,
      this.#stopping.signal,
    );
  }

  /** Stops all tasks and closes the transport, without notifying peers. */
  async close(): Promise<void> {
    this.#stopping.abort();
    this.#pinger.stop();
    await this.#link.close();
    await this.#tasks;
  }

  self(): Member {
    return this.#self;
  }

  members(): readonly Member[] {
    return [...this.#table.entries()].map((entry) => entry.member);
  }

  find(nodeId: string): Member | undefined {
    return this.#table.get(nodeId)?.member;
  }

  servingMembers(service: string): readonly Member[] {
    return this.#table.serving(service);
  }

  roundTripMs(nodeId: string): number | undefined {
    return this.#table.get(nodeId)?.roundTripMs;
  }

  onChange(listener: (member: Member) => void): () => void {
    return this.#table.onChange(listener);
  }

  /** @throws {RangeError} If the record would be longer than 200 bytes. */
  setWorker(worker: Worker | undefined): void {
    this.#changeSelf(checkSize({
      ...this.#self,
      worker,
      revision: nextContentRevision(this.#self.revision),
    }));
  }

  setConfigurationSource(source: () => HeldConfiguration): void {
    this.#configuration = source;
  }

  /**
   * Merges the records of a peer, for the call `SyncMembers`.
   *
   * @returns The records of all live members.
   */
  syncMembers(records: readonly Member[]): readonly Member[] {
    this.#applyAll(records);
    return this.#table.live().map((entry) => entry.member);
  }

  /** Counters and gauges for metrics. */
  counters(): MembershipCounters {
    return {
      traffic: this.#options.transport.counters(),
      drops: this.#link.drops(),
      healthScore: this.#health.score,
      pendingUpdates: this.#disseminator.pending,
      liveMembers: this.#table.liveCount,
      refutations: this.#refutations,
    };
  }

  #changeSelf(record: Member, announced = record): void {
    this.#self = record;
    if (this.#startedMs === undefined) return;
    this.#table.merge(record, this.#context.clock.now());
    this.#disseminator.announceOwn(announced);
  }

  #changeOwnState(revision: number, state: MemberState): void {
    const record = { ...this.#self, revision, state };
    this.#changeSelf(record, toStateUpdate(record));
  }

  #receive(datagram: Datagram, from: string): void {
    const { body, sender, updates } = datagram;
    const origin: RecordOrigin = { isGossiped: true, sender, from };
    for (const update of updates) this.#apply(update, origin);
    if (body.case === "memberPage") {
      for (const record of body.value.members) {
        const entry = this.#table.get(record.nodeId);
        if (entry !== undefined) {
          this.#antiEntropy.receiveRecord(record, entry, from);
        }
        this.#apply(record, { ...origin, isGossiped: false });
      }
    }
    const peer = this.#table.get(sender);
    if (peer === undefined) this.#antiEntropy.requestRecord(from, sender);
    else if (body.case === "digest") {
      this.#antiEntropy.receiveDigest(body.value, peer.member);
    }
    this.#pinger.receive(datagram, from);
  }

  #apply(record: Member, origin: RecordOrigin): void {
    if (record.nodeId === this.#self.nodeId) {
      return this.#receiveOwnRecord(record);
    }
    if (this.#isUntrustedReport(record, origin.sender)) return;
    if (origin.sender !== undefined) this.#disseminator.countReceived(record);
    const nowMs = this.#context.clock.now();
    const previous = isStateUpdate(record)
      ? undefined
      : this.#table.atAddress(record.peerAddress)?.member;
    const previousState = this.#table.get(record.nodeId)?.member.state;
    const result = this.#table.merge(record, nowMs);
    if (result.lacksContent && origin.from !== undefined) {
      this.#antiEntropy.requestRecord(origin.from, record.nodeId);
    }
    if (!result.changed) return;
    const { member } = this.#table.get(record.nodeId)!;
    if (origin.isGossiped) {
      this.#disseminator.announce(
        result.newContent ? member : toStateUpdate(member),
      );
    }
    if (previousState !== member.state) this.#logStateChange(member);
    if (previous !== undefined) this.#suspectPredecessor(previous, member);
  }

  // A member that can send but not receive suspects all others. Its peers have
  // declared it dead by then, and ignore its suspicions.
  #isUntrustedReport(record: Member, sender: string | undefined): boolean {
    if (sender === undefined || sender === record.nodeId) return false;
    const reporter = this.#table.get(sender)?.member;
    return reporter !== undefined && !isLive(reporter) &&
      (record.state === MemberState.SUSPECT ||
        record.state === MemberState.DEAD);
  }

  #suspectPredecessor(predecessor: Member, member: Member): void {
    const isReplaced = predecessor.nodeId !== member.nodeId &&
      predecessor.state === MemberState.ALIVE && isLive(member) &&
      predecessor.incarnation < member.incarnation;
    if (!isReplaced) return;
    this.#apply({ ...toStateUpdate(predecessor), state: MemberState.SUSPECT }, {
      isGossiped: true,
    });
  }

  #receiveOwnRecord(record: Member): void {
    const self = this.#self;
    if (self.state === MemberState.LEFT) return;
    if (compareRecords(record, self) <= 0) return;
    if (record.incarnation === self.incarnation) {
      this.#refutations += 1;
      this.#changeOwnState(
        nextRefutationRevision(record.revision),
        MemberState.ALIVE,
      );
      return;
    }
    const { clock, log } = this.#context;
    const ageMs = clock.now() - (this.#startedMs ?? clock.now());
    if (ageMs > CLOCK_STEP_WINDOW_MS) {
      log?.write("error", "node_id_taken_over", {
        node: self.nodeId,
        incarnation: record.incarnation,
      });
      return;
    }
    log?.write("warn", "incarnation_raised", {
      node: self.nodeId,
      incarnation: record.incarnation,
    });
    this.#changeSelf({ ...self, incarnation: record.incarnation + 1n });
  }

  #applyAll(records: readonly Member[]): void {
    records.forEach((record) => this.#apply(record, { isGossiped: false }));
  }

  #logStateChange(member: Member): void {
    this.#context.log?.write("info", "member_state_changed", {
      node: member.nodeId,
      state: MemberState[member.state].toLowerCase(),
      incarnation: member.incarnation,
      revision: member.revision,
    });
  }
}

/** Origin of a record; without a sender, it was pulled or detected locally. */
interface RecordOrigin {
  /** Whether the record is gossiped to peers if it is new. */
  readonly isGossiped: boolean;
  /** Node id of the sender. */
  readonly sender?: string;
  /** Address of the sender. */
  readonly from?: string;
}

function checkSize(record: Member): Member {
  const { length } = encodeMember(record);
  if (length > MAX_RECORD_BYTES) {
    throw new RangeError(
      `The member record has ${length} bytes, more than ${MAX_RECORD_BYTES}`,
    );
  }
  return record;
}
