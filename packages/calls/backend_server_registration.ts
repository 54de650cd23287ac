import { type Either, Left, Right } from "purify-ts";
import { z } from "zod";
import { DeckError } from "@oleanderdeck/errors";
import type { Clock } from "@oleanderdeck/settings";

/**
 * Time without renewal after which a registration expires, in milliseconds.
 * Backend servers renew their registration every 1,000 ms.
 */
export const REGISTRATION_TERM_MS = 3000;

const registrationSchema = z.strictObject({
  service: z.string().regex(/^[A-Za-z0-9][\w.-]{0,63}$/),
  address: z.string().regex(/^(\[[0-9a-fA-F:.]+\]|[^\s:/@]{1,253}):\d{1,5}$/),
  slots: z.int().min(1).max(100_000),
  connectionLimit: z.int().min(1).max(1_000_000),
  dataCentre: z.string().max(64),
  warmUpMs: z.int().min(0).max(3_600_000),
  state: z.enum(["serving", "draining"]),
});

/** Registration document that a backend server sends. */
export type BackendServer = Readonly<z.infer<typeof registrationSchema>>;

/** Options of {@linkcode BackendServerRegistration}. */
export interface BackendServerRegistrationOptions {
  readonly clock: Clock;
  /**
   * Returns the lowest valid fencing token. The backend server refuses calls
   * with a lower one, because the lease under which they were sent has expired.
   */
  readonly lowestFence: () => string;
  /**
   * Called with the backend server when it registers or its document changes,
   * and with undefined when its registration expires. A renewal without a change
   * causes no call.
   */
  readonly onChange: (server: BackendServer | undefined) => void;
}

/**
 * Registration of the backend server on the host of a node. It expires if it is
 * not renewed.
 */
export class BackendServerRegistration {
  readonly #options: BackendServerRegistrationOptions;
  #server: BackendServer | undefined;
  #renewedAt = 0;
  #timer: NodeJS.Timeout | undefined;

  /** @param options Clock, source of the fencing token and listener. */
  constructor(options: BackendServerRegistrationOptions) {
    this.#options = options;
  }

  /** The registered backend server; undefined if there is none. */
  get current(): BackendServer | undefined {
    return this.#server;
  }

  /**
   * Registers the backend server or renews its registration. The error is
   * `malformed_request` if the document is invalid.
   *
   * @param document Parsed JSON of the registration document.
   * @returns The lowest valid fencing token.
   */
  put(document: unknown): Either<DeckError, { readonly lowestFence: string }> {
    const parsed = registrationSchema.safeParse(document);
    if (!parsed.success) {
      return Left(
        new DeckError("malformed_request", {
          message: z.prettifyError(parsed.error).replaceAll("\n", "; "),
        }),
      );
    }
    this.#renewedAt = this.#options.clock.now();
    this.#timer ??= this.#checkAfter(REGISTRATION_TERM_MS);
    const changed = JSON.stringify(parsed.data) !==
      JSON.stringify(this.#server);
    this.#server = parsed.data;
    if (changed) this.#options.onChange(this.#server);
    return Right({ lowestFence: this.#options.lowestFence() });
  }

  /** Stops the expiry timer. */
  close(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
  }

  #checkAfter(milliseconds: number): NodeJS.Timeout {
    return setTimeout(() => {
      const left = this.#renewedAt + REGISTRATION_TERM_MS -
        this.#options.clock.now();
      this.#timer = left > 0 ? this.#checkAfter(left) : undefined;
      if (left > 0) return;
      this.#server = undefined;
      this.#options.onChange(undefined);
    }, Math.ceil(milliseconds)).unref();
  }
}
