/**
 * Waits for a time.
 *
 * @param milliseconds Time to wait.
 */
export function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
