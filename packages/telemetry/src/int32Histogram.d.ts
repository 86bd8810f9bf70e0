/** The histogram class alone; the main module of the library also loads WebAssembly, compression and number formats. */

declare module "hdr-histogram-js/dist/Int32Histogram.js" {
    import type { Histogram } from "hdr-histogram-js";

    /** What a CommonJS module exports, as an ES module sees it. */
    const exported: {
        readonly default: new(
            lowestDiscernibleValue: number,
            highestTrackableValue: number,
            numberOfSignificantValueDigits: number,
        ) => Histogram;
    };
    export default exported;
}
