import { IncomingMessage } from "node:http";

/** Request that counts the bytes of its body. */
export class CountedRequest extends IncomingMessage {
  #bodyBytes = 0;

  /** Number of bytes of the body that were parsed so far. */
  get bodyBytes(): number {
    return this.#bodyBytes;
  }

  /** Called by the parser with each part of the body, and with null at its end. */
  override push(chunk: Buffer | null, encoding?: BufferEncoding): boolean {
    this.#bodyBytes += chunk?.length ?? 0;
    return super.push(chunk, encoding);
  }
}
