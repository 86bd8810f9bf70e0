/** A manifest authority for tests: nothing is signed and the highest version is in force. */

import { judgeHighestVersion, parseManifest } from "@anvilmux/manifest";
import type { ManifestAuthority, ReadManifest } from "@anvilmux/manifest";

const read = (text: string): ReadManifest => ({ manifest: parseManifest(text), digest: text });

export const trustingAuthority: ManifestAuthority = { verify: read, read, judge: judgeHighestVersion };
