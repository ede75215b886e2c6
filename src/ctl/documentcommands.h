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

/// Kind of the objects that hold documents.
constexpr const char* kDocumentKind = "service";

/// What an operator says about the version that an edit starts from.
struct edit_base
{
  /// Version last read; none when the document is expected to be new.
  std::optional<revision> expected;
};

/// Reads and edits documents at the platform.
template<platform::object_store Store>
class document_commands
{
public:
  document_commands(Store& aStore, command_context aContext)
    : mStore(aStore)
    , mContext(aContext)
  {
  }

  /// Prints the document that the platform holds, and its version on the error stream.
  int Get(const service_name& aService)
  {
    const auto held = Read(aService);
    if (!held) {
      return ReportMissing(aService);
    }
    mContext.out << RenderServiceDocument(held->document);
    mContext.err << "version " << held->version.value << "\n";
    return done;
  }

  /// Prints how a document differs from the one the platform holds.
  int Diff(const service_document& aDocument)
  {
    const auto held = Read(aDocument.service);
    if (!held && mFailed) {
      return failed;
    }
    PrintDifference(held ? held->document : service_document{}, aDocument);
    return done;
  }

  /// Writes a document if the platform still holds the version that the edit started from.
  /// aAccepted receives the new version.
  int Apply(const service_document& aDocument, const edit_base& aBase, revision& aAccepted)
  {
    const std::string text = RenderServiceDocument(aDocument);
    const platform::object_key key{ kDocumentKind, aDocument.service.value };
    const auto result = platform::PutConfirmed(mStore, key, text, { aBase.expected }, kTries);
    switch (result.outcome) {
      case platform::write_outcome::applied:
        aAccepted = result.version;
        mContext.out << "accepted " << aDocument.service.value << " as version " << aAccepted.value
                     << "\n";
        return done;
      case platform::write_outcome::conflict:
        return ReportRace(aDocument);
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

  /// Marks the document that the platform holds as retired.
  int Retire(const service_name& aService, revision& aAccepted)
  {
    auto held = Read(aService);
    if (!held) {
      return ReportMissing(aService);
    }
    if (held->document.retired) {
      mContext.out << aService.value << " is retired already, version " << held->version.value
                   << "\n";
      aAccepted = held->version;
      return done;
    }
    held->document.retired = true;
    return Apply(held->document, { held->version }, aAccepted);
  }

  /// Returns the document that the platform holds.
  std::optional<versioned_document> Read(const service_name& aService)
  {
    mFailed = false;
    const auto object = mStore.Get({ kDocumentKind, aService.value });
    if (!object) {
      mFailed = mStore.LastFailure().code != platform::store_error::not_found;
      if (mFailed) {
        mContext.err << "cannot read " << aService.value << ": "
                     << platform::StoreErrorName(mStore.LastFailure().code) << "\n";
      }
      return std::nullopt;
    }
    document_reason why;
    auto document = ParseServiceDocument(object->value, why);
    if (!document) {
      mFailed = true;
      mContext.err << "the platform's document is not valid: " << why.detail << "\n";
      return std::nullopt;
    }
    return versioned_document{ object->version, std::move(*document) };
  }

private:
  static constexpr int kTries = 4;

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
    if (!mFailed) {
      mContext.err << "the platform has no document for " << aService.value << "\n";
    }
    return failed;
  }

  int ReportRace(const service_document& aDocument)
  {
    const auto held = Read(aDocument.service);
    if (!held) {
      mContext.err
        << "not accepted: the document changed since it was last read; nothing was changed\n";
      return conflict;
    }
    mContext.err << "not accepted: the platform holds version " << held->version.value
                 << ", which the edit did not start from. From that version to this edit:\n";
    PrintDifference(held->document, aDocument);
    mContext.err << "to apply it all the same: --expect " << held->version.value << "\n";
    return conflict;
  }

  Store& mStore;
  command_context mContext;
  bool mFailed = false;
};

} // namespace persimmon::ctl
