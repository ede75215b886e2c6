#pragma once

#include "ctl/commandcontext.h"
#include "ctl/ctlexit.h"
#include "document/versioneddocument.h"
#include "platform/confirmedput.h"
#include "platform/objectstore.h"

#include <optional>
#include <ostream>
#include <string>
#include <utility>

namespace persimmon::ctl {

/// Object kind under which service documents are stored.
constexpr const char* kDocumentKind = "service";

/// Precondition of an edit: the version of the document that it is based on.
struct edit_base
{
  /// Version last read; empty when the document must not exist yet.
  std::optional<revision> expected;
};

/// Reads and edits service documents in the platform's object store. Commands return a ctl_exit
/// code.
template<platform::object_store Store>
class document_commands
{
public:
  document_commands(Store& aStore, command_context aContext)
    : mStore(aStore)
    , mContext(aContext)
  {
  }

  /// Prints the stored document on the output stream and its version on the error stream.
  int Get(const service_name& aService)
  {
    const auto current = Read(aService);
    if (!current) {
      return ReportMissing(aService);
    }
    mContext.out << RenderServiceDocument(current->document);
    mContext.err << "version " << current->version.value << "\n";
    return done;
  }

  /// Prints the differences between the stored document and aDocument.
  int Diff(const service_document& aDocument)
  {
    const auto current = Read(aDocument.service);
    if (!current && mReadFailed) {
      return failed;
    }
    PrintDifference(current ? current->document : service_document{}, aDocument);
    return done;
  }

  /// Writes a document if the stored version still is the one that the edit is based on. aAccepted
  /// receives the new version.
  int Apply(const service_document& aDocument, const edit_base& aBase, revision& aAccepted)
  {
    const std::string text = RenderServiceDocument(aDocument);
    const platform::object_key key{ kDocumentKind, aDocument.service.value };
    const auto result =
      platform::PutConfirmed(mStore, key, text, { aBase.expected }, kMaxWriteAttempts);
    switch (result.outcome) {
      case platform::write_outcome::applied:
        aAccepted = result.version;
        mContext.out << "accepted " << aDocument.service.value << " as version " << aAccepted.value
                     << "\n";
        return done;
      case platform::write_outcome::conflict:
        return ReportConflict(aDocument);
      case platform::write_outcome::not_written:
        mContext.err << "not accepted: " << platform::StoreErrorName(result.failure.code) << " ("
                     << result.failure.detail << "); nothing was changed\n";
        return failed;
      case platform::write_outcome::unresolved:
        mContext.err << "unknown: no answer from the platform (" << result.failure.detail
                     << "); read the document before editing it again\n";
        return unknown;
    }
    return failed;
  }

  /// Marks the stored document as retired. aAccepted receives its version.
  int Retire(const service_name& aService, revision& aAccepted)
  {
    auto current = Read(aService);
    if (!current) {
      return ReportMissing(aService);
    }
    if (current->document.retired) {
      mContext.out << aService.value << " is retired already, version " << current->version.value
                   << "\n";
      aAccepted = current->version;
      return done;
    }
    current->document.retired = true;
    return Apply(current->document, { current->version }, aAccepted);
  }

  /// Returns the stored document; empty when it is missing or cannot be read. Read errors are
  /// printed.
  std::optional<versioned_document> Read(const service_name& aService)
  {
    mReadFailed = false;
    const auto object = mStore.Get({ kDocumentKind, aService.value });
    if (!object) {
      mReadFailed = mStore.LastFailure().code != platform::store_error::not_found;
      if (mReadFailed) {
        mContext.err << "cannot read " << aService.value << ": "
                     << platform::StoreErrorName(mStore.LastFailure().code) << "\n";
      }
      return std::nullopt;
    }
    document_reason error;
    auto document = ParseServiceDocument(object->value, error);
    if (!document) {
      mReadFailed = true;
      mContext.err << "the platform's document is not valid: " << error.detail << "\n";
      return std::nullopt;
    }
    return versioned_document{ object->version, std::move(*document) };
  }

private:
  static constexpr int kMaxWriteAttempts = 4;

  void PrintDifference(const service_document& aBefore, const service_document& aAfter)
  {
    const auto lines = CompareServiceDocuments(aBefore, aAfter);
    for (const std::string& line : lines) {
      mContext.out << line << "\n";
    }
    if (lines.empty()) {
      mContext.out << "no difference\n";
    }
  }

  int ReportMissing(const service_name& aService)
  {
    if (!mReadFailed) {
      mContext.err << "the platform has no document for " << aService.value << "\n";
    }
    return failed;
  }

  int ReportConflict(const service_document& aDocument)
  {
    const auto current = Read(aDocument.service);
    if (!current) {
      mContext.err
        << "not accepted: the document changed since it was last read; nothing was changed\n";
      return conflict;
    }
    mContext.err << "not accepted: the platform holds version " << current->version.value
                 << ", which the edit did not start from. From that version to this edit:\n";
    PrintDifference(current->document, aDocument);
    mContext.err << "to apply it all the same: --expect " << current->version.value << "\n";
    return conflict;
  }

  Store& mStore;
  command_context mContext;
  /// True when the last Read() failed for another reason than a missing document.
  bool mReadFailed = false;
};

} // namespace persimmon::ctl
