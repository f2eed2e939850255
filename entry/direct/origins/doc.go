// Package origins remembers which software version of a service began each
// resumable stream. What two versions write in one stream does not fit together,
// so a stream may go on only at the version that began it, also when its client
// resumes it at another entry, or after all entries have been restarted.
//
// Each entry records the streams that it sends to a server. While several versions of a
// service are in use, or may be, it copies its records to a few other entries, chosen by a
// hash of the stream, and writes them to the store, many in a row.
//
// A stream without a record is resumed only while it is certain that no other version can
// have begun it. Three rules make that certain:
//
//   - The store has a row for each service that names the versions in use, with their stage.
//     A version is announced there before a stream is sent to it, and remains there until no
//     stream that it began can be resumed.
//   - A version that is new gets no streams until it has settled: settleTime after it was
//     announced.
//   - An entry takes the only version that it knows for the only one in use while its list of
//     servers is younger than freshFor, which is less than settleTime.
//
// While several versions are in use, a stream without a record began at the version that the
// splits in the row of its service give to it: see Split. The first split is added with the
// second version (firstsplit.go), later ones when all entries are ready (splits.go), and an
// earlier one is dropped once all have adopted the later (adoption.go). A stream at another
// version brings no event before its record is stored (durable.go).
package origins
