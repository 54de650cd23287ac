import {
  type Datagram,
  type HeldConfiguration,
  type Member,
  MemberState,
  type Worker,
} from "@oleanderdeck/protocol";

/** Whether a member is alive or suspect, and neither dead nor left. */
export function isLive({ state }: Pick<Member, "state">): boolean {
  return state === MemberState.ALIVE || state === MemberState.SUSPECT;
}

/** Message in the body of a datagram. */
export type PeerMessage = Exclude<Datagram["body"], { case: undefined }>;

/** Name of a kind of message. */
export type PeerMessageCase = PeerMessage["case"];

/** Value of a message of one kind. */
export type PeerMessageValue<Case extends PeerMessageCase> = Extract<
  PeerMessage,
  { case: Case }
>["value"];

/** Sends and receives signed datagrams between nodes; each may be lost. */
export abstract class DatagramChannel {
  /**
   * Sends a message to a member once, without acknowledgement.
   *
   * @returns Whether the member is known.
   */
  abstract send(nodeId: string, message: PeerMessage): boolean;

  /**
   * Calls the handler for each message of one kind.
   *
   * @returns A function that removes the handler.
   */
  abstract onMessage<Case extends PeerMessageCase>(
    messageCase: Case,
    handler: (message: PeerMessageValue<Case>, sender: Member) => void,
  ): () => void;
}

/** A node's view of the members of the fleet. */
export abstract class MemberView {
  /** The node's own record. */
  abstract self(): Member;

  /** All known members, including dead ones and those that left. */
  abstract members(): readonly Member[];

  /** Member with a node id, if known. */
  abstract find(nodeId: string): Member | undefined;

  /**
   * Live members (alive or suspect) whose worker runs a service and is in the
   * state `serving`, including the node itself.
   */
  abstract servingMembers(service: string): readonly Member[];

  /** Smoothed round trip time to a member in milliseconds, if measured. */
  abstract roundTripMs(nodeId: string): number | undefined;

  /**
   * Calls the listener when a member's record changes.
   *
   * @returns A function that removes the listener.
   */
  abstract onChange(listener: (member: Member) => void): () => void;

  /** Replaces the worker in the node's own record. */
  abstract setWorker(worker: Worker | undefined): void;

  /** Sets the source of the configuration state that probes carry. */
  abstract setConfigurationSource(source: () => HeldConfiguration): void;
}
