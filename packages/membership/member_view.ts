import {
  type Datagram,
  type HeldConfiguration,
  type Member,
  MemberState,
  type Worker,
} from "@oleanderdeck/protocol";

/** Tells whether a member is alive or only suspected of a failure. */
export function isLive({ state }: Pick<Member, "state">): boolean {
  return state === MemberState.ALIVE || state === MemberState.SUSPECT;
}

/** Message that a datagram carries. */
export type PeerMessage = Exclude<Datagram["body"], { case: undefined }>;

/** Name of a kind of message. */
export type PeerMessageCase = PeerMessage["case"];

/** Value of a message of one kind. */
export type PeerMessageValue<Case extends PeerMessageCase> = Extract<
  PeerMessage,
  { case: Case }
>["value"];

/** Sends and receives signed datagrams between nodes; any of them may be lost. */
export abstract class DatagramChannel {
  /**
   * Sends a message to a member, once.
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

/** What a node knows about the members of the fleet. */
export abstract class MemberView {
  /** The node's own record. */
  abstract self(): Member;

  /** All members, dead ones included. */
  abstract members(): readonly Member[];

  /** Member by node id. */
  abstract find(nodeId: string): Member | undefined;

  /**
   * Live members (alive or suspect) whose worker runs a service and is in the
   * state `serving`, the node itself included.
   */
  abstract servingMembers(service: string): readonly Member[];

  /** Smoothed round trip time to a member, in milliseconds, where measured. */
  abstract roundTripMs(nodeId: string): number | undefined;

  /**
   * Calls the listener when a member's record changes.
   *
   * @returns A function that removes the listener.
   */
  abstract onChange(listener: (member: Member) => void): () => void;

  /** Replaces what the node tells about its worker. */
  abstract setWorker(worker: Worker | undefined): void;

  /** Sets the source of what probes tell about the node's configuration. */
  abstract setConfigurationSource(source: () => HeldConfiguration): void;
}
