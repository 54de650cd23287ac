import { defineConfig } from "vitest/config";

export default defineConfig({
  test: {
    include: ["packages/**/*_test.ts", "platform/**/*_test.ts"],
    // Tests in virtual time are bound by the processor, which may be shared.
    testTimeout: 180_000,
  },
});
